#include <stdio.h>

/* Entry point; the subcommands are not there yet. */
int main(void)
{
	puts("dandelionspar");
	return 0;
}
