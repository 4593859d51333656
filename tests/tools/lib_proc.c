#include "lib_proc.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <ftw.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
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

/*
 * Starts a program; argv is NULL-terminated. If stderr_path is not NULL, both
 * standard output and standard error are appended to that file. The child is
 * killed when its parent dies. Aborts when fork() fails.
 */
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

/*
 * Waits for a child's exit. Returns its exit code, 128 + the signal number if a
 * signal ended it, -1 if it still runs after timeout_ms, or 0 if waitpid()
 * fails.
 */
int proc_wait(pid_t pid, int timeout_ms)
{
	int64_t until = proc_now_ms() + timeout_ms;
	int status;

	for (;;) {
		pid_t exited = waitpid(pid, &status, WNOHANG);

		if (exited == pid)
			break;
		if (exited < 0)
			return 0;
		if (proc_now_ms() >= until)
			return -1;
		usleep(POLL_INTERVAL_US);
	}
	if (WIFSIGNALED(status))
		return 128 + WTERMSIG(status);
	return WEXITSTATUS(status);
}

/* Kills a child with SIGKILL and waits for its exit; pid <= 0 is ignored. */
void proc_kill(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	kill(pid, SIGCONT);
	waitpid(pid, NULL, 0);
}

/*
 * Test ports; each process uses one block. They lie below the ephemeral port
 * range, so that no outgoing connection takes one before a test listens on it.
 */
#define PORT_FIRST 10000u
#define PORT_BLOCKS 20u
#define PORTS_PER_BLOCK 1000u

static int bind_port(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/*
 * Reserves a block until this process exits by binding its first port: a port
 * that a stopped instance will listen on again must not go to another test.
 */
static uint32_t claim_block(void)
{
	for (uint32_t i = 0; i < PORT_BLOCKS; i++) {
		uint32_t block = ((uint32_t)getpid() + i) % PORT_BLOCKS;
		uint32_t first = PORT_FIRST + block * PORTS_PER_BLOCK;

		if (bind_port((uint16_t)first) >= 0)
			return first;
	}
	abort();
}

/* Returns a TCP port of 127.0.0.1 that is free now; aborts if there is none. */
uint16_t proc_free_port(void)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	static uint32_t first;
	static uint32_t next;
	uint16_t port = 0;

	pthread_mutex_lock(&lock);
	if (!first)
		first = claim_block();
	for (uint32_t i = 1; !port && i < PORTS_PER_BLOCK; i++) {
		uint32_t at = 1 + next++ % (PORTS_PER_BLOCK - 1);
		int fd = bind_port((uint16_t)(first + at));

		if (fd < 0)
			continue;
		close(fd);
		port = (uint16_t)(first + at);
	}
	pthread_mutex_unlock(&lock);
	if (!port)
		abort();
	return port;
}

/* Polls a condition until it holds; returns false after timeout_ms. */
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

/* Creates a temporary folder below /tmp; free the path with g_free(). */
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

/* Removes a folder and everything below it. */
void proc_remove_folder(const char *path)
{
	nftw(path, remove_entry, OPEN_FOLDERS_MAX, FTW_DEPTH | FTW_PHYS);
}
