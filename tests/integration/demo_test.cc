#include <gtest/gtest.h>

extern "C" {
#include <glib.h>

#include "lib_cluster.h"
#include "lib_proc.h"
}

/* Guards the whole path that "make demo" shows: each of its steps compares its
 * result, and a wrong one makes the exit code 1. */
TEST(Demo, EveryStepHasTheRightResult)
{
	char *program = cluster_program("demo");
	const char *argv[] = { program, nullptr };

	EXPECT_EQ(proc_wait(proc_start(argv, nullptr), 180000), 0);
	g_free(program);
}
