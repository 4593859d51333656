#ifndef TESTS_LIB_STUB_ENDPOINT_H
#define TESTS_LIB_STUB_ENDPOINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * In-process endpoint for tests of the traffic side: it speaks the wire of
 * section 13 of docs/design.md, records what it ran, and fails as it is told.
 * All functions may be called from any thread.
 */
struct stub;

enum stub_fault {
	STUB_OK,
	STUB_BREAK,	 /* close the connection after `tokens` tokens */
	STUB_SILENT,	 /* send nothing more after `tokens` tokens */
	STUB_OVERLOADED, /* 503, not run */
	STUB_ERROR,	 /* 500 after it ran */
	STUB_REFUSE,	 /* 400 */
	STUB_CROSSED,	 /* the answer of another attempt */
	STUB_LOST,	 /* run, then close without an answer */
	STUB_HOLD,	 /* wait for stub_release() before answering */
};

struct stub_request {
	char method[16];
	char path[256];
	char attempt[256];
	char content_type[128];
	char body[512];
	char model[128];
	uint32_t offset;
	int priority; /* -1: none */
	bool ran;
};

/* Tokens of the answer to every model request: "w0 ", "w1 ", ... */
struct stub *stub_new(uint32_t tokens);
struct stub *stub_new_sized(uint32_t tokens, uint32_t threads);
/* Closes the port at once, as a crash does. */
void stub_free(struct stub *ctx);

/* Commands. */
/* The next n requests get this fault; n < 0: all. */
void stub_fault(struct stub *ctx, enum stub_fault fault, uint32_t tokens,
		int n);
void stub_release(struct stub *ctx);
/* Pause between tokens in microseconds. */
void stub_pace(struct stub *ctx, uint32_t us);

/* Queries. */
const char *stub_address(const struct stub *ctx);
size_t stub_n_requests(struct stub *ctx);
size_t stub_n_ran(struct stub *ctx);
size_t stub_n_held(struct stub *ctx);
bool stub_request(struct stub *ctx, size_t i, struct stub_request *out);
bool stub_cancelled(struct stub *ctx, const char *attempt);

#endif
