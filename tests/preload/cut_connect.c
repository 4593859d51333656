#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Preloaded into an instance by tests: cuts its paths to some ports. The file
 * named by CUT_FILE has a line "PORT TARGET" for each of them; connections to
 * PORT go to TARGET instead, whose listener refuses them or leaves them
 * pending.
 */

int connect(int fd, const struct sockaddr *address, socklen_t len);

/* Returns the port that connections to this one go to. */
static unsigned target_of(unsigned port)
{
	const char *path = getenv("CUT_FILE");
	FILE *file = path ? fopen(path, "re") : NULL;
	char line[64];
	char *end;

	if (!file)
		return port;
	while (fgets(line, sizeof(line), file))
		if (strtoul(line, &end, 10) == port) {
			port = (unsigned)strtoul(end, NULL, 10);
			break;
		}
	(void)fclose(file);
	return port;
}

int connect(int fd, const struct sockaddr *address, socklen_t len)
{
	static int (*next)(int, const struct sockaddr *, socklen_t);
	struct sockaddr_in in;

	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "connect");
	if (address->sa_family != AF_INET || len < sizeof(in))
		return next(fd, address, len);
	memcpy(&in, address, sizeof(in));
	in.sin_port = htons((uint16_t)target_of(ntohs(in.sin_port)));
	return next(fd, (const struct sockaddr *)&in, sizeof(in));
}
