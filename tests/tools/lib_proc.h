#ifndef TOOLS_LIB_PROC_H
#define TOOLS_LIB_PROC_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Child processes, free ports and waiting for tests and tools. */

pid_t proc_start(const char *const *argv, const char *stderr_path);
int proc_wait(pid_t pid, int timeout_ms);
void proc_kill(pid_t pid);
uint16_t proc_free_port(void);
int64_t proc_now_ms(void);
bool proc_wait_for(bool (*condition)(void *data), void *data, int timeout_ms);
char *proc_temp_folder(void);
void proc_remove_folder(const char *path);

#endif
