#ifndef TESTS_LIB_STUB_ENDPOINT_H
#define TESTS_LIB_STUB_ENDPOINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * In-process endpoint for tests of the traffic threads: it speaks the endpoint
 * protocol (section 13 of docs/design.md), records the requests it ran, and
 * injects the faults that a test sets. All functions may be called from any
 * thread.
 */
struct stub;

enum stub_fault {
	STUB_OK,
	STUB_BREAK,	 /* close the connection after `tokens` tokens */
	STUB_SILENT,	 /* send nothing more after `tokens` tokens */
	STUB_OVERLOADED, /* 503, not run */
	STUB_ERROR,	 /* 500 after it ran */
	STUB_REFUSE,	 /* 400, not run */
	STUB_CROSSED,	 /* answer with the id of another attempt */
	STUB_LOST,	 /* close without an answer after it ran */
	STUB_HOLD,	 /* wait for stub_release() before the answer */
	STUB_PAUSE,	 /* as STUB_OVERLOADED, and asks for 2 s without */
	STUB_LEAVING,	 /* answer that says that the endpoint leaves */
};

struct stub_request {
	char method[16];
	char path[256];
	char attempt[256];
	char content_type[128];
	char body[512];
	char model[128];
	uint32_t offset; /* first token to send */
	int priority;	 /* -1: none */
	bool ran;	 /* not refused before it ran */
};

struct stub *stub_new(uint32_t tokens);
struct stub *stub_new_sized(uint32_t tokens, uint32_t threads);
void stub_free(struct stub *ctx);

/* Commands. */
void stub_fault(struct stub *ctx, enum stub_fault fault, uint32_t tokens,
		int n);
void stub_release(struct stub *ctx);
void stub_set_token_interval(struct stub *ctx, uint32_t us);

/* Queries. */
const char *stub_address(const struct stub *ctx);
size_t stub_n_requests(struct stub *ctx);
size_t stub_n_ran(struct stub *ctx);
size_t stub_n_held(struct stub *ctx);
bool stub_request(struct stub *ctx, size_t i, struct stub_request *out);
bool stub_cancelled(struct stub *ctx, const char *attempt);

#endif
