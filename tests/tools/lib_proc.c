#include "lib_proc.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <ftw.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define POLL_INTERVAL_US 10000
#define OPEN_FOLDERS_MAX 16

/* Starts a program whose output goes to a file, if one is given; argv is
 * NULL-terminated. Aborts when fork fails. */
pid_t proc_start(const char *const *argv, const char *stderr_path)
{
	sigset_t none;
	pid_t pid = fork();
	int fd;

	if (pid < 0)
		abort();
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	if (stderr_path) {
		fd = open(stderr_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
		if (fd < 0 || dup2(fd, STDERR_FILENO) < 0 ||
		    dup2(fd, STDOUT_FILENO) < 0)
			_exit(126);
		close(fd);
	}
	execv(argv[0], (char *const *)argv);
	_exit(127);
}

/* Returns the monotonic time in milliseconds. */
int64_t proc_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Waits for a child's exit; see the header for the result. */
int proc_wait(pid_t pid, int timeout_ms)
{
	int64_t until = proc_now_ms() + timeout_ms;
	int status;

	for (;;) {
		pid_t got = waitpid(pid, &status, WNOHANG);

		if (got == pid)
			break;
		if (got < 0)
			return 0;
		if (proc_now_ms() >= until)
			return -1;
		usleep(POLL_INTERVAL_US);
	}
	if (WIFSIGNALED(status))
		return 128 + WTERMSIG(status);
	return WEXITSTATUS(status);
}

/* Kills a child with SIGKILL and waits for it. */
void proc_kill(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	kill(pid, SIGCONT);
	waitpid(pid, NULL, 0);
}

/*
 * Returns a TCP port of 127.0.0.1 that is free now. Ports are chosen below the
 * range of ephemeral ports, so that no outgoing connection takes one before it
 * is listened on; each process starts at its own place.
 */
uint16_t proc_free_port(void)
{
	static _Atomic uint32_t next;
	struct sockaddr_in address = { .sin_family = AF_INET };

	if (!next)
		next = (uint32_t)getpid() * 61u;
	for (int i = 0; i < 20000; i++) {
		uint16_t port = (uint16_t)(10000 + next++ % 20000);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int rc;

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = htons(port);
		rc = bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (!rc)
			return port;
	}
	abort();
}

/* Polls a condition; true as soon as it holds. */
bool proc_wait_for(bool (*condition)(void *data), void *data, int timeout_ms)
{
	int64_t until = proc_now_ms() + timeout_ms;

	while (!condition(data)) {
		if (proc_now_ms() >= until)
			return false;
		usleep(POLL_INTERVAL_US);
	}
	return true;
}

/* Creates a temporary folder; the caller frees the path with g_free(). */
char *proc_temp_folder(void)
{
	char *path = g_strdup("/tmp/dandelionspar-XXXXXX");

	if (!mkdtemp(path))
		abort();
	return path;
}

static int remove_entry(const char *path, const struct stat *info, int type,
			struct FTW *walk)
{
	(void)info;
	(void)type;
	(void)walk;
	return remove(path);
}

/* Removes a folder with everything below it. */
void proc_remove_folder(const char *path)
{
	nftw(path, remove_entry, OPEN_FOLDERS_MAX, FTW_DEPTH | FTW_PHYS);
}
