#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <string>
#include <vector>

extern "C" {
#include "lib_proc.h"
#include "net/net.h"
}

namespace
{

/* Rounds of some milliseconds each; a connection needs far fewer. */
constexpr int MAX_ROUNDS = 500;

std::string free_address()
{
	return "tcp://127.0.0.1:" + std::to_string(proc_free_port());
}

class Net : public ::testing::Test
{
      protected:
	std::string address_a = free_address();
	std::string address_b = free_address();
	struct net *a = nullptr;
	struct net *b = nullptr;
	int wake = eventfd(0, EFD_NONBLOCK);
	int64_t now = 1000000;

	void SetUp() override
	{
		a = net_new(address_a.c_str(), address_a.c_str(), "a", 1, NULL);
		b = net_new(address_b.c_str(), address_b.c_str(), "b", 2, NULL);
		ASSERT_NE(a, nullptr);
		ASSERT_NE(b, nullptr);
	}
	void TearDown() override
	{
		net_free(a);
		net_free(b);
		close(wake);
	}

	void send_id(uint64_t id)
	{
		Dsp__Envelope e = DSP__ENVELOPE__INIT;
		Dsp__AnswerQuery query = DSP__ANSWER_QUERY__INIT;

		query.id = id;
		e.body_case = DSP__ENVELOPE__BODY_ANSWER_QUERY;
		e.answer_query = &query;
		net_send(a, address_b.c_str(), &e);
	}

	/* Waits for a message without advancing the time; null if none. */
	Dsp__Envelope *receive_at_b(int rounds = MAX_ROUNDS)
	{
		for (int i = 0; i < rounds; i++) {
			Dsp__Envelope *e;

			net_tick(a, now);
			net_tick(b, now);
			net_wait(a, wake, 5000);
			net_wait(b, wake, 15000);
			e = net_receive(b);
			if (e)
				return e;
		}
		return nullptr;
	}
};

} // namespace

/*
 * Guards against a lost first message to a new peer, which is sent before the
 * connection is open, and against a missing address for replies.
 */
TEST_F(Net, FirstMessageArrivesWithTheSendersAddress)
{
	Dsp__Envelope *e;

	net_tick(a, now);
	send_id(7);
	e = receive_at_b();
	ASSERT_NE(e, nullptr);
	EXPECT_STREQ(e->from, "a");
	EXPECT_EQ(e->boot, 1u);
	EXPECT_STREQ(e->address, address_a.c_str());
	EXPECT_EQ(e->answer_query->id, 7u);
	dsp__envelope__free_unpacked(e, NULL);
}

/*
 * Guards against outdated messages: those sent while the peer was absent are
 * not delivered after its return.
 */
TEST_F(Net, MessagesToAnAbsentPeerAreDropped)
{
	Dsp__Envelope *e;

	net_free(b);
	b = nullptr;
	net_tick(a, now);
	for (uint64_t i = 0; i < 1000; i++)
		send_id(i);
	now += 600000;
	net_tick(a, now);
	EXPECT_EQ(net_dropped(a), 1000u);
	b = net_new(address_b.c_str(), address_b.c_str(), "b", 2, NULL);
	ASSERT_NE(b, nullptr);
	EXPECT_EQ(receive_at_b(10), nullptr);
	for (int i = 0; i < 100; i++) {
		send_id(5000);
		e = receive_at_b(1);
		if (e)
			break;
	}
	ASSERT_NE(e, nullptr);
	EXPECT_EQ(e->answer_query->id, 5000u);
	dsp__envelope__free_unpacked(e, NULL);
}

/*
 * Guards against a crash or a wrong message after bytes that are not an
 * envelope, an envelope without a body, or extra frames.
 */
TEST_F(Net, MalformedMessagesAreCountedAndDropped)
{
	void *zmq = zmq_ctx_new();
	void *socket = zmq_socket(zmq, ZMQ_DEALER);
	const char *bad[] = { "\xff\xff\xff\xff", "x", "\x0a\x01" };
	Dsp__Envelope *e;
	int zero = 0;

	zmq_setsockopt(socket, ZMQ_LINGER, &zero, sizeof(zero));
	ASSERT_EQ(zmq_connect(socket, address_b.c_str()), 0);
	for (const char *text : bad)
		zmq_send(socket, text, strlen(text), 0);
	zmq_send(socket, "\x0a\x01g", 3, 0); /* sender id, no body */
	zmq_send(socket, "one", 3, ZMQ_SNDMORE);
	zmq_send(socket, "two", 3, 0);
	for (int i = 0; i < 200 && net_malformed(b) < 5; i++)
		EXPECT_EQ(receive_at_b(1), nullptr);
	EXPECT_EQ(net_malformed(b), 5u);
	send_id(9);
	e = receive_at_b();
	ASSERT_NE(e, nullptr);
	EXPECT_EQ(e->answer_query->id, 9u);
	dsp__envelope__free_unpacked(e, NULL);
	zmq_close(socket);
	zmq_ctx_term(zmq);
}

/*
 * Guards against a connection that stays open but carries no data: a connection
 * to a peer that does not answer probes is replaced, one to a peer that does is
 * kept.
 */
TEST_F(Net, SilentConnectionIsReplaced)
{
	Dsp__Envelope *e;

	net_tick(a, now);
	send_id(1);
	e = receive_at_b();
	ASSERT_NE(e, nullptr);
	dsp__envelope__free_unpacked(e, NULL);
	for (int i = 0; i < 20; i++) {
		send_id(2);
		now += 500000;
		e = receive_at_b();
		ASSERT_NE(e, nullptr);
		dsp__envelope__free_unpacked(e, NULL);
		EXPECT_EQ(receive_at_b(3), nullptr);
	}
	EXPECT_EQ(net_resets(a), 0u);
	/* b is no longer served: its socket accepts data, probes time out. */
	for (int i = 0; i < 10; i++) {
		send_id(3);
		now += 500000;
		net_tick(a, now);
		usleep(5000);
	}
	EXPECT_GE(net_resets(a), 1u);
}

/* Guards against a lease in a message for another receiver, and against a
 * message that changes where none is needed. */
TEST_F(Net, PackedMessageCarriesTheLeaseOfItsReceiverOnly)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__AnswerQuery query = DSP__ANSWER_QUERY__INIT;
	uint8_t *data;
	size_t len;

	query.id = 77;
	out.body_case = DSP__ENVELOPE__BODY_ANSWER_QUERY;
	out.answer_query = &query;
	net_tick(a, now);
	data = net_pack(a, &out, &len);
	for (uint64_t echo_us : { UINT64_MAX, UINT64_C(5), UINT64_C(0) }) {
		uint32_t age_ms = echo_us ? UINT32_MAX : 0;
		Dsp__Envelope *e;

		if (echo_us)
			net_send_packed_lease(a, address_b.c_str(), data, len,
					      echo_us, age_ms);
		else
			net_send_packed(a, address_b.c_str(), data, len);
		e = receive_at_b();
		ASSERT_NE(e, nullptr);
		EXPECT_EQ(e->echo_us, echo_us);
		EXPECT_EQ(e->lease_age_ms, age_ms);
		EXPECT_STREQ(e->from, "a");
		ASSERT_EQ(e->body_case, DSP__ENVELOPE__BODY_ANSWER_QUERY);
		EXPECT_EQ(e->answer_query->id, 77u);
		if (!echo_us) {
			EXPECT_EQ(dsp__envelope__get_packed_size(e), len);
		}
		dsp__envelope__free_unpacked(e, NULL);
	}
	g_free(data);
}

/* Guards against a connection that is replaced, with all that is on its way,
 * because the answer to a ping waits behind a large message. */
TEST_F(Net, LargeMessageOnItsWayIsNoSilence)
{
	Dsp__Envelope *e;
	std::vector<uint8_t> bulk(2 * NET_SLOW_BITS_PER_S / 8);

	net_tick(a, now);
	send_id(1);
	e = receive_at_b();
	ASSERT_NE(e, nullptr);
	dsp__envelope__free_unpacked(e, NULL);
	/* The message takes two seconds on a slow link; b does not answer. */
	net_send_packed(a, address_b.c_str(), bulk.data(), bulk.size());
	for (int i = 0; i < 6; i++) {
		now += 500000;
		net_tick(a, now);
		usleep(5000);
	}
	EXPECT_EQ(net_resets(a), 0u);
	for (int i = 0; i < 4; i++) {
		now += 500000;
		net_tick(a, now);
		usleep(5000);
	}
	EXPECT_EQ(net_resets(a), 1u);
}

/* Guards against an urgent message that waits behind others: b reads nothing
 * from the connection that a has filled. */
TEST_F(Net, UrgentMessageHasAConnectionOfItsOwn)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__AnswerQuery query = DSP__ANSWER_QUERY__INIT;
	std::vector<uint8_t> bulk(32 << 20);
	Dsp__Envelope *e;

	query.id = 77;
	out.body_case = DSP__ENVELOPE__BODY_ANSWER_QUERY;
	out.answer_query = &query;
	net_tick(a, now);
	send_id(1);
	net_send_ahead(a, address_b.c_str(), &out);
	for (int i = 0; i < 2; i++) {
		e = receive_at_b();
		ASSERT_NE(e, nullptr);
		dsp__envelope__free_unpacked(e, NULL);
	}
	for (int i = 0; i < 4; i++)
		net_send_packed(a, address_b.c_str(), bulk.data(), bulk.size());
	send_id(2);
	net_send_ahead(a, address_b.c_str(), &out);
	e = receive_at_b();
	ASSERT_NE(e, nullptr);
	EXPECT_EQ(e->answer_query->id, 77u);
	dsp__envelope__free_unpacked(e, NULL);
	e = receive_at_b();
	ASSERT_NE(e, nullptr);
	EXPECT_EQ(e->answer_query->id, 2u);
	dsp__envelope__free_unpacked(e, NULL);
}

/* Guards against a system call for each connection whenever the thread wakes
 * up: their number grows with that of the instances that report here. */
TEST_F(Net, ConnectionsAreNotCheckedAtEachWakeUp)
{
	Dsp__Envelope *e;
	uint64_t before;

	net_tick(a, now);
	send_id(1);
	e = receive_at_b();
	ASSERT_NE(e, nullptr);
	dsp__envelope__free_unpacked(e, NULL);
	before = net_probes(a);
	/* A second, with a wake-up each millisecond and a ping each half. */
	for (int i = 0; i < 1000; i++) {
		now += 1000;
		net_tick(a, now);
	}
	EXPECT_LE(net_probes(a) - before, 10u);
	EXPECT_GE(net_probes(a) - before, 1u);
}

/* Guards against a wait that does not end when wake is readable. */
TEST_F(Net, WakeEndsTheWait)
{
	uint64_t one = 1;

	ASSERT_EQ(write(wake, &one, sizeof(one)), (ssize_t)sizeof(one));
	net_wait(a, wake, 600000000);
	EXPECT_EQ(net_receive(a), nullptr);
}

/* Guards against an address that cannot be bound without an error. */
TEST_F(Net, AddressInUseIsAnError)
{
	GError *err = nullptr;

	EXPECT_EQ(net_new(address_a.c_str(), "", "c", 3, &err), nullptr);
	EXPECT_TRUE(g_error_matches(err, NET_ERROR, NET_ERROR_BIND));
	g_clear_error(&err);
}

/*
 * Guards against a connection attempt that was begun during a network partition
 * and never completes: the instance then could not reach the leader again after
 * the partition. A listener with a full backlog, which accepts no connection,
 * simulates the partition.
 */
TEST_F(Net, ConnectionThatNeverOpensIsReplaced)
{
	struct sockaddr_in in = {};
	socklen_t len = sizeof(in);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	std::vector<int> fillers;

	in.sin_family = AF_INET;
	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(bind(listener, (struct sockaddr *)&in, sizeof(in)), 0);
	ASSERT_EQ(listen(listener, 0), 0);
	ASSERT_EQ(getsockname(listener, (struct sockaddr *)&in, &len), 0);
	for (int i = 0; i < 8; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		(void)connect(fd, (struct sockaddr *)&in, sizeof(in));
		fillers.push_back(fd);
	}
	address_b = "tcp://127.0.0.1:" + std::to_string(ntohs(in.sin_port));
	for (int i = 0; i < 40 && !net_resets(a); i++) {
		net_tick(a, now);
		send_id((uint64_t)i);
		net_wait(a, wake, 1000);
		now += 100000;
	}
	EXPECT_GT(net_resets(a), 0u);
	for (int fd : fillers)
		close(fd);
	close(listener);
}
