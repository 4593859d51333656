#include <gtest/gtest.h>

extern "C" {
#include <glib.h>

#include "lib_cluster.h"
#include "lib_proc.h"
}

/* Runs the program of "make demo". Each of its steps checks its result; a wrong
 * one makes the exit code 1. */
TEST(Demo, EveryStepHasTheRightResult)
{
	char *program = cluster_program("demo");
	const char *argv[] = { program, nullptr };

	EXPECT_EQ(proc_wait(proc_start(argv, nullptr), 180000), 0);
	g_free(program);
}
