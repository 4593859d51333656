#include "node/ctl.h"

#include "base/log.h"
#include "base/msg.h"
#include "node/ctl_int.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <unistd.h>

/* Longest wait of the event loop. A replica must notice election timeouts of
 * some hundred milliseconds; an entry without one only sends reports. */
#define REPLICA_SLEEP_US 20000
#define ENTRY_SLEEP_US 50000
#define SLEEP_MIN_US 1000
/* With more than FLEET_ENDPOINTS endpoints, a control instance collects
 * messages for this time before an iteration: the system calls of an iteration
 * for each of some thousand messages a second cost more than the messages. */
#define FLEET_ENDPOINTS 256
#define COLLECT_US 5000
/* Interval at which such an instance returns free memory to the system. The
 * views and messages of its start take several times what it keeps. */
#define TRIM_INTERVAL_US (10LL * CTL_S_US)
#define TRIM_KEEP_BYTES (1 << 20)
/* Messages handled in one iteration, which syncs the log once for all: at most
 * this many, and no further one after this time. Votes and heartbeats must not
 * wait for an election timeout behind the reports of all instances. */
#define BATCH_MAX 4096
#define BATCH_US 30000
/* Time for jobs of other threads in one iteration, for the same reason. */
#define JOBS_US 20000
/* Share of an election timeout after which the steps that no election waits for
 * are left to the next iteration: a leader that sends nothing for an election
 * timeout loses its leadership. */
#define SLICE_PERCENT 20
/* An iteration counts for at most this much of ctl.attended_us. */
#define ATTENDED_MAX_US 100000
/* Jobs that wait when this thread is behind; they take some ten milliseconds of
 * processor time. */
#define JOBS_BEHIND 1000
/* Time limit of the leadership transfer before the thread ends. */
#define TRANSFER_LIMIT_US CTL_S_US

G_DEFINE_QUARK(ctl - error - quark, ctl_error)

static void job_free(struct ctl *ctx, struct ctl_job *job)
{
	switch (job->kind) {
	case CTL_JOB_CALL:
		ctl_call_unref(ctx, job->call);
		break;
	case CTL_JOB_ANNOUNCEMENT:
		dsp__announcement__free_unpacked(job->announcement, NULL);
		break;
	case CTL_JOB_DEMAND:
		dsp__demand__free_unpacked(job->demand, NULL);
		break;
	case CTL_JOB_PACE:
		dsp__pace__free_unpacked(job->pace, NULL);
		break;
	case CTL_JOB_OBSERVED_LOAD:
		dsp__load_report__free_unpacked(job->load, NULL);
		break;
	case CTL_JOB_PART_EVIDENCE:
		dsp__part_evidence__free_unpacked(job->evidence, NULL);
		break;
	case CTL_JOB_STREAMS:
		dsp__streams_begun__free_unpacked(job->streams, NULL);
		break;
	case CTL_JOB_QUOTA_ASKS:
		dsp__quota_asks__free_unpacked(job->quota_asks, NULL);
		break;
	case CTL_JOB_STREAM_COPIES:
		g_free(job->stream_copies.node);
		dsp__stream_copies__free_unpacked(job->stream_copies.copies,
						  NULL);
		break;
	case CTL_JOB_PROMPTS:
		g_free(job->prompts.node);
		dsp__envelope__free_unpacked(job->prompts.message, NULL);
		break;
	case CTL_JOB_SEEDS:
		g_strfreev(job->seeds);
		break;
	case CTL_JOB_ORDER:
	case CTL_JOB_DRAIN:
	case CTL_JOB_STOP:
		break;
	}
	g_free(job);
}

/* Queues a job for the control thread; callable from any thread. Takes the
 * job. */
void ctl_post(struct ctl *ctx, struct ctl_job *job)
{
	uint64_t one = 1;
	bool first;

	pthread_mutex_lock(&ctx->lock);
	first = STAILQ_EMPTY(&ctx->jobs) && STAILQ_EMPTY(&ctx->calls_in);
	/* Calls do not wait behind the announcements. */
	if (job->kind == CTL_JOB_CALL) {
		STAILQ_INSERT_TAIL(&ctx->calls_in, job, link);
	} else {
		STAILQ_INSERT_TAIL(&ctx->jobs, job, link);
		ctx->n_jobs++;
	}
	pthread_mutex_unlock(&ctx->lock);
	if (first && write(ctx->wake_fd, &one, sizeof(one)) < 0)
		LOG_EVENT_WARN("ctl", "wake_failed", "fd=%d", ctx->wake_fd);
}

/* Sends a message; does nothing if the address is NULL or empty. */
void ctl_send(struct ctl *ctx, const char *address, Dsp__Envelope *envelope)
{
	if (address && address[0])
		net_send(ctx->net, address, envelope);
}

/* Installs a view for the traffic threads; takes the reference. */
void ctl_set_view(struct ctl *ctx, struct view *view)
{
	struct view *old;

	pthread_mutex_lock(&ctx->lock);
	old = ctx->view;
	ctx->view = view;
	pthread_mutex_unlock(&ctx->lock);
	view_unref(old);
	if (ctx->cb.view_changed)
		ctx->cb.view_changed(ctx->cb.data, view);
}

/* Extends the lease of the installed view. */
void ctl_extend_lease(struct ctl *ctx, int64_t start_us)
{
	pthread_mutex_lock(&ctx->lock);
	lse_extend(&ctx->lease, start_us, view_index(ctx->view));
	pthread_mutex_unlock(&ctx->lock);
}

/* Returns true once ctl_drain() was called. */
bool ctl_is_draining(struct ctl *ctx)
{
	bool draining;

	pthread_mutex_lock(&ctx->lock);
	draining = ctx->draining;
	pthread_mutex_unlock(&ctx->lock);
	return draining;
}

/* Returns the milliseconds since the view was last confirmed, or UINT32_MAX if
 * it never was. */
uint32_t ctl_confirmed_age_ms(const struct ctl *ctx)
{
	int64_t age_ms;

	if (!ctx->confirmed_us)
		return UINT32_MAX;
	age_ms = (ctx->now_us - ctx->confirmed_us) / 1000;
	if (age_ms < 0)
		return 0;
	return age_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)age_ms;
}

static void answer_query(struct ctl *ctx, const Dsp__Envelope *from,
			 const Dsp__AnswerQuery *query)
{
	Dsp__Envelope out = DSP__ENVELOPE__INIT;
	Dsp__AnswerReply *reply;

	if (!ctx->cb.answer_query)
		return;
	reply = ctx->cb.answer_query(ctx->cb.data, query);
	if (!reply)
		return;
	reply->id = query->id;
	out.body_case = DSP__ENVELOPE__BODY_ANSWER_REPLY;
	out.answer_reply = reply;
	ctl_send(ctx, from->address, &out);
	dsp__answer_reply__free_unpacked(reply, NULL);
}

static void handle_message(struct ctl *ctx, const Dsp__Envelope *e)
{
	g_hash_table_replace(ctx->addresses, g_strdup(e->from),
			     g_strdup(e->address));
	switch (e->body_case) {
	case DSP__ENVELOPE__BODY_RAFT:
		ctl_raft_step(ctx, e, e->raft);
		break;
	case DSP__ENVELOPE__BODY_REPORT:
		ctl_report_receive(ctx, e, e->report);
		break;
	case DSP__ENVELOPE__BODY_VIEW_UPDATE:
		ctl_report_view(ctx, e, e->view_update);
		break;
	case DSP__ENVELOPE__BODY_FORWARD:
		ctl_raft_forward(ctx, e, e->forward);
		break;
	case DSP__ENVELOPE__BODY_FORWARD_REPLY:
		ctl_call_reply(ctx, e, e->forward_reply);
		break;
	case DSP__ENVELOPE__BODY_FORM_QUERY:
		ctl_form_query(ctx, e, e->form_query);
		break;
	case DSP__ENVELOPE__BODY_FORM_REPLY:
		ctl_form_reply(ctx, e->form_reply);
		break;
	case DSP__ENVELOPE__BODY_FORM_GROUP:
		ctl_form_group(ctx, e->form_group);
		break;
	case DSP__ENVELOPE__BODY_JOIN_REQUEST:
		ctl_form_join(ctx, e, e->join_request);
		break;
	case DSP__ENVELOPE__BODY_ANSWER_QUERY:
		answer_query(ctx, e, e->answer_query);
		break;
	case DSP__ENVELOPE__BODY_ANSWER_REPLY:
		ctl_call_answer(ctx, e->answer_reply);
		break;
	case DSP__ENVELOPE__BODY_PACKED_UPDATE:
		ctl_report_packed_view(ctx, e, e->packed_update);
		break;
	case DSP__ENVELOPE__BODY_QUOTA_ASKS:
		ctl_quota_asked(ctx, e, e->quota_asks);
		break;
	case DSP__ENVELOPE__BODY_QUOTA_GRANTS:
		ctl_quota_granted(ctx, e->quota_grants);
		break;
	case DSP__ENVELOPE__BODY_PROMPT_ASKS:
	case DSP__ENVELOPE__BODY_PROMPT_SLOTS:
	case DSP__ENVELOPE__BODY_PROMPT_SENDS:
		ctl_prompt_receive(ctx, e);
		break;
	case DSP__ENVELOPE__BODY_STREAM_COPIES:
		if (ctx->cb.stream_copies)
			ctx->cb.stream_copies(ctx->cb.data, e->stream_copies);
		break;
	case DSP__ENVELOPE__BODY__NOT_SET:
	case _DSP__ENVELOPE__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

/* Handles all messages of the consensus protocol. The contact with a quorum is
 * taken from all of them first, since this process may have stood still while
 * they came. */
static void receive_consensus(struct ctl *ctx)
{
	GPtrArray *received = g_ptr_array_new();
	Dsp__Envelope *e;

	while (received->len < BATCH_MAX &&
	       (e = net_receive_consensus(ctx->net))) {
		if (ctx->raft && e->body_case == DSP__ENVELOPE__BODY_RAFT)
			raft_read_contact(ctx->raft, e->raft);
		g_ptr_array_add(received, e);
	}
	for (guint i = 0; i < received->len; i++) {
		handle_message(ctx, received->pdata[i]);
		dsp__envelope__free_unpacked(received->pdata[i], NULL);
	}
	g_ptr_array_free(received, TRUE);
}

static void receive_messages(struct ctl *ctx)
{
	Dsp__Envelope *e;

	receive_consensus(ctx);
	for (int i = 0; i < BATCH_MAX; i++) {
		e = net_receive(ctx->net);
		if (!e)
			return;
		handle_message(ctx, e);
		dsp__envelope__free_unpacked(e, NULL);
		if (clk_now_us(ctx->clock) - ctx->now_us > BATCH_US)
			return;
	}
}

/* Transfers leadership to the voter with the highest match index. Returns false
 * if there is no other voter or this replica does not lead. */
static bool transfer_leadership(struct ctl *ctx)
{
	const Dsp__RaftConfig *config;
	uint64_t best = 0;

	if (!ctl_raft_is_leader(ctx))
		return false;
	config = raft_config(ctx->raft);
	for (size_t i = 0; i < config->n_members; i++) {
		const Dsp__Member *m = config->members[i];

		if (m->voter && m->replica != ctx->replica &&
		    (!best || raft_match_index(ctx->raft, m->replica) >
				      raft_match_index(ctx->raft, best)))
			best = m->replica;
	}
	if (best)
		raft_transfer_leadership(ctx->raft, best, ctx->now_us);
	return best != 0;
}

static void begin_stop(struct ctl *ctx)
{
	ctx->stopping = true;
	ctx->stop_by_us = ctx->now_us;
	if (transfer_leadership(ctx))
		ctx->stop_by_us = ctx->now_us + TRANSFER_LIMIT_US;
}

static void run_job(struct ctl *ctx, struct ctl_job *job)
{
	switch (job->kind) {
	case CTL_JOB_CALL:
		ctl_call_start(ctx, job->call);
		break;
	case CTL_JOB_ANNOUNCEMENT:
		ctl_report_announcement(ctx, job->announcement);
		break;
	case CTL_JOB_DEMAND:
		ctl_report_demand(ctx, job->demand);
		break;
	case CTL_JOB_ORDER:
		ctl_order_sent(ctx, job->order.id, job->order.term,
			       job->order.outcome);
		break;
	case CTL_JOB_PACE:
		ctl_report_pace(ctx, job->pace);
		break;
	case CTL_JOB_OBSERVED_LOAD:
		ctl_report_observed_load(ctx, job->load);
		break;
	case CTL_JOB_PART_EVIDENCE:
		ctl_parts_add(ctx, job->evidence);
		break;
	case CTL_JOB_STREAMS:
		ctl_stream_add(ctx, job->streams);
		break;
	case CTL_JOB_STREAM_COPIES:
		ctl_stream_send_copies(ctx, job->stream_copies.node,
				       job->stream_copies.copies);
		break;
	case CTL_JOB_QUOTA_ASKS:
		ctl_quota_send(ctx, job->quota_asks);
		break;
	case CTL_JOB_PROMPTS:
		ctl_prompt_send(ctx, job->prompts.node, job->prompts.message);
		break;
	case CTL_JOB_DRAIN:
		ctl_report_schedule(ctx, 0);
		transfer_leadership(ctx);
		break;
	case CTL_JOB_SEEDS:
		g_strfreev(ctx->seeds);
		ctx->seeds = g_steal_pointer(&job->seeds);
		break;
	case CTL_JOB_STOP:
		begin_stop(ctx);
		break;
	}
}

/* Puts jobs that had no time back in front of the others. */
static void put_back(struct ctl *ctx, struct ctl_jobs *jobs, size_t n)
{
	uint64_t one = 1;

	pthread_mutex_lock(&ctx->lock);
	STAILQ_CONCAT(jobs, &ctx->jobs);
	STAILQ_CONCAT(&ctx->jobs, jobs);
	ctx->n_jobs += n;
	pthread_mutex_unlock(&ctx->lock);
	if (write(ctx->wake_fd, &one, sizeof(one)) < 0)
		LOG_EVENT_WARN("ctl", "wake_failed", "fd=%d", ctx->wake_fd);
}

/* Runs the jobs that other threads posted, for JOBS_US at most. */
static void run_jobs(struct ctl *ctx)
{
	struct ctl_jobs jobs = STAILQ_HEAD_INITIALIZER(jobs);
	int64_t start_us = clk_now_us(ctx->clock);
	struct ctl_job *job;
	uint64_t count;
	size_t n;

	if (read(ctx->wake_fd, &count, sizeof(count)) < 0)
		count = 0; /* no job woke the thread */
	pthread_mutex_lock(&ctx->lock);
	STAILQ_CONCAT(&jobs, &ctx->calls_in);
	STAILQ_FOREACH (job, &jobs, link)
		ctx->n_jobs++;
	STAILQ_CONCAT(&jobs, &ctx->jobs);
	n = ctx->n_jobs;
	ctx->n_jobs = 0;
	pthread_mutex_unlock(&ctx->lock);
	while (!STAILQ_EMPTY(&jobs)) {
		if (clk_now_us(ctx->clock) - start_us > JOBS_US) {
			put_back(ctx, &jobs, n);
			return;
		}
		job = STAILQ_FIRST(&jobs);
		STAILQ_REMOVE_HEAD(&jobs, link);
		n--;
		run_job(ctx, job);
		job_free(ctx, job);
	}
}

/* Returns how long to wait for messages. */
static int64_t sleep_us(const struct ctl *ctx)
{
	int64_t most_us = ctx->raft ? REPLICA_SLEEP_US : ENTRY_SLEEP_US;
	int64_t due_us = ctx->report_due_us - clk_now_us(ctx->clock);

	if (ctx->next_step != CTL_STEP_ORDERS)
		return 0;
	if (!ctx->up.address && !ctx->ready_leader)
		return most_us;
	return CLAMP(due_us, SLEEP_MIN_US, most_us);
}

/* Returns true if the previous leader may still send orders, which must not
 * overlap with those of this one. */
static bool predecessor_may_be_active(const struct ctl *ctx)
{
	if (!ctx->last_leader)
		return !ctx->saw_group_formation;
	if (ctx->last_leader == ctx->replica)
		return false;
	return ctl_raft_heard_us(ctx, ctx->last_leader) >= ctx->leader_since_us;
}

static void publish_leadership(struct ctl *ctx)
{
	struct ctl_leadership next = { .leads = ctx->ready_leader };

	if (next.leads) {
		next.predecessor_may_be_active = predecessor_may_be_active(ctx);
		next.term = raft_term(ctx->raft);
		next.since_us = ctx->leader_since_us;
		next.until_us = raft_quorum_contact_us(ctx->raft) +
				(int64_t)ctx->set->election_timeout_ms * 1000;
	}
	pthread_mutex_lock(&ctx->lock);
	ctx->leadership = next;
	pthread_mutex_unlock(&ctx->lock);
}

/* Returns the leadership as of the control thread's last iteration; callable
 * from any thread. */
struct ctl_leadership ctl_leadership(struct ctl *ctx)
{
	struct ctl_leadership leadership;

	pthread_mutex_lock(&ctx->lock);
	leadership = ctx->leadership;
	pthread_mutex_unlock(&ctx->lock);
	return leadership;
}

/* Stores when this instance last had contact with a leader. */
static void note_leader_contact(struct ctl *ctx)
{
	int64_t contact_us = ctx->confirmed_us;

	if (ctl_raft_is_leader(ctx))
		contact_us = MAX(contact_us, raft_quorum_contact_us(ctx->raft));
	else if (ctx->raft && raft_leader(ctx->raft))
		contact_us =
			MAX(contact_us,
			    ctl_raft_heard_us(ctx, raft_leader(ctx->raft)));
	if (contact_us > ctx->leader_contact_us)
		ctx->leader_contact_us = contact_us;
}

static void trim_memory(struct ctl *ctx)
{
	if (ctx->now_us < ctx->trim_due_us ||
	    view_n_endpoints(ctx->view) <= FLEET_ENDPOINTS)
		return;
	ctx->trim_due_us = ctx->now_us + TRIM_INTERVAL_US;
	malloc_trim(TRIM_KEEP_BYTES);
}

/* Reads the clock. Time in which no messages were read, as by a process that
 * was stopped, is no silence of others: their messages are still to be read. */
static void read_clock(struct ctl *ctx)
{
	int64_t before_us = ctx->now_us;
	int64_t pause_us;

	ctx->now_us = clk_now_us(ctx->clock);
	pause_us = ctx->now_us - before_us;
	if (pause_us > (int64_t)ctx->set->report_interval_ms * 1000) {
		ctx->pauses_us += pause_us;
		met_count(ctx->met, "dandelionspar_control_pauses", "", 1);
		LOG_EVENT_NOTICE("ctl", "paused",
				 "pause_us=%" G_GINT64_FORMAT " leads=%d",
				 pause_us, ctx->ready_leader);
	}
	ctx->read_us = ctx->now_us - ctx->pauses_us;
	ctx->attended_us += MIN(pause_us, ATTENDED_MAX_US);
}

/* Returns true if the iteration has taken so long that its remaining steps
 * are left to the next one. */
static bool is_slice_over(const struct ctl *ctx)
{
	int64_t slice_us =
		(int64_t)ctx->set->election_timeout_ms * 10 * SLICE_PERCENT;

	return clk_now_us(ctx->clock) - ctx->now_us > slice_us;
}

/*
 * After long steps, reads the clock and the messages of the consensus protocol
 * again. What the replica sends next would else bear the time of before these
 * steps, and a leader would count the answers as that much older.
 */
static void renew_contact(struct ctl *ctx)
{
	if (!is_slice_over(ctx))
		return;
	read_clock(ctx);
	receive_consensus(ctx);
	ctl_step_done(ctx, CTL_STEP_RECEIVE);
}

/* Carries out one of the steps that follow the consensus protocol. */
static void run_later_step(struct ctl *ctx, enum ctl_step step)
{
	switch (step) {
	case CTL_STEP_ORDERS:
		ctl_quota_run(ctx);
		ctl_order_run(ctx);
		break;
	case CTL_STEP_PUBLISH:
		ctl_report_publish(ctx);
		ctl_raft_confirm(ctx);
		break;
	case CTL_STEP_PUSH:
		ctl_report_push(ctx);
		break;
	case CTL_STEP_REST:
		ctl_raft_expire_forwards(ctx);
		ctl_watch_run(ctx);
		ctl_status_metrics(ctx);
		trim_memory(ctx);
		break;
	default:
		g_assert_not_reached();
	}
	ctl_step_done(ctx, step);
}

/*
 * Carries out the steps that follow the consensus protocol: all of them, or one
 * at least if the iteration takes long. The next iteration begins with the one
 * after that, once it has read the messages and sent the heartbeats that wait.
 */
static void run_later_steps(struct ctl *ctx)
{
	do {
		run_later_step(ctx, ctx->next_step++);
	} while (ctx->next_step < CTL_N_STEPS && !is_slice_over(ctx));
	if (ctx->next_step == CTL_N_STEPS)
		ctx->next_step = CTL_STEP_ORDERS;
}

/*
 * Runs one iteration: handles all messages and jobs received, syncs the log
 * once for all proposals of the iteration, then sends what the commits cause.
 */
static void iterate(struct ctl *ctx)
{
	net_wait(ctx->net, ctx->wake_fd, sleep_us(ctx));
	if (ctx->set->control && view_n_endpoints(ctx->view) > FLEET_ENDPOINTS)
		g_usleep(COLLECT_US);
	read_clock(ctx);
	ctl_step_begin(ctx);
	net_tick(ctx->net, ctx->now_us);
	ctl_step_done(ctx, CTL_STEP_NET);
	receive_messages(ctx);
	ctl_step_done(ctx, CTL_STEP_RECEIVE);
	run_jobs(ctx);
	ctl_step_done(ctx, CTL_STEP_JOBS);
	ctl_raft_reopen(ctx);
	ctl_form_run(ctx);
	ctl_member_run(ctx);
	ctl_parts_run(ctx);
	ctl_stream_run(ctx);
	ctl_step_done(ctx, CTL_STEP_MEMBERS);
	ctl_report_run(ctx);
	ctl_call_run(ctx);
	ctl_step_done(ctx, CTL_STEP_REPORT);
	renew_contact(ctx);
	ctl_raft_run(ctx);
	publish_leadership(ctx);
	note_leader_contact(ctx);
	ctl_step_done(ctx, CTL_STEP_RAFT);
	run_later_steps(ctx);
	ctl_step_end(ctx);
}

static void *run(void *data)
{
	struct ctl *ctx = data;

	ctl_form_start(ctx);
	while (!ctx->stopping ||
	       (ctl_raft_is_leader(ctx) && ctx->now_us < ctx->stop_by_us))
		iterate(ctx);
	ctl_call_finish_all(ctx);
	return NULL;
}

static void free_child(void *data)
{
	struct ctl_child *child = data;

	g_free(child->node);
	g_free(child->address);
	g_free(child->site);
	g_free(child);
}

static void free_load(void *data)
{
	struct ctl_load *load = data;

	dsp__load_report__free_unpacked(load->report, NULL);
	g_free(load);
}

static void free_join(void *data)
{
	struct ctl_join *join = data;

	dsp__member__free_unpacked(join->member, NULL);
	g_free(join);
}

static void free_forward(void *data)
{
	struct ctl_forward *forward = data;

	if (forward->result)
		dsp__command_result__free_unpacked(forward->result, NULL);
	g_free(forward->key);
	g_free(forward->address);
	g_free(forward);
}

static void free_status(void *data)
{
	dsp__node_status__free_unpacked(data, NULL);
}

static void free_announcement(void *data)
{
	dsp__announcement__free_unpacked(data, NULL);
}

static void free_demand(void *data)
{
	dsp__demand__free_unpacked(data, NULL);
}

static void free_pace(void *data)
{
	dsp__pace__free_unpacked(data, NULL);
}

static GHashTable *table_by_string(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_value);
}

static GHashTable *table_by_id(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     g_free);
}

/* Returns the addresses of the other control instances in the settings, as a
 * NULL-terminated array; free it with g_strfreev(). */
static char **list_seeds(const struct ctl *ctx, const struct set *settings)
{
	GPtrArray *seeds = g_ptr_array_new();

	for (size_t i = 0; i < settings->n_peers; i++)
		if (settings->peers[i].control &&
		    !ctl_form_is_self(ctx, &settings->peers[i]))
			g_ptr_array_add(seeds,
					g_strdup(settings->peers[i].address));
	g_ptr_array_add(seeds, NULL);
	return (char **)g_ptr_array_free(seeds, FALSE);
}

static struct ctl *ctl_new(const struct set *settings, struct clk *clock,
			   struct met *metrics,
			   const struct ctl_callbacks *callbacks)
{
	struct ctl *ctx = g_new0(struct ctl, 1);

	ctx->set = settings;
	ctx->clock = clock;
	ctx->met = metrics;
	ctx->cb = *callbacks;
	while (!ctx->boot)
		if (getrandom(&ctx->boot, sizeof(ctx->boot), 0) < 0)
			ctx->boot = 0;
	pthread_mutex_init(&ctx->lock, NULL);
	STAILQ_INIT(&ctx->calls_in);
	STAILQ_INIT(&ctx->jobs);
	STAILQ_INIT(&ctx->forwards_done);
	TAILQ_INIT(&ctx->waiters);
	TAILQ_INIT(&ctx->orphans);
	TAILQ_INIT(&ctx->held_results);
	TAILQ_INIT(&ctx->calls);
	TAILQ_INIT(&ctx->changed_loads);
	ctx->seeds = list_seeds(ctx, settings);
	ctx->now_us = clk_now_us(clock);
	ctx->leader_contact_us = ctx->now_us;
	ctx->lease_clock = lse_clock_new(ctx->boot, ctx->now_us);
	ctx->up.since_us = ctx->now_us;
	ctx->up.spread = (uint8_t)ctx->boot;
	ctx->view = view_new_empty();
	ctx->wake_fd = -1;
	ctx->next_step = CTL_STEP_ORDERS;
	ctx->addresses = table_by_string(g_free);
	ctx->replicas_seen = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, ctl_raft_seen_free);
	ctx->forwards = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_forward);
	ctx->joins = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   free_join);
	ctx->calls_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ctx->relays = g_ptr_array_new_with_free_func(g_free);
	ctx->children = table_by_string(free_child);
	ctx->statuses = table_by_string(free_status);
	ctx->announcements = table_by_string(free_announcement);
	ctx->announced = table_by_string(g_free);
	ctx->demands = table_by_string(free_demand);
	ctx->paces = table_by_string(free_pace);
	ctx->loads = table_by_string(free_load);
	ctx->members = table_by_string(g_free);
	ctx->endpoints = table_by_string(g_free);
	ctx->orders = table_by_id();
	ctx->observed_up = occ_new();
	ctx->observed_down = occ_new();
	ctx->parts = pev_new();
	return ctx;
}

static void ctl_free(struct ctl *ctx)
{
	struct ctl_job *job;

	ctl_member_stop(ctx);
	ctl_order_close(ctx->sender);
	STAILQ_CONCAT(&ctx->calls_in, &ctx->jobs);
	STAILQ_CONCAT(&ctx->jobs, &ctx->calls_in);
	while (!STAILQ_EMPTY(&ctx->jobs)) {
		job = STAILQ_FIRST(&ctx->jobs);
		STAILQ_REMOVE_HEAD(&ctx->jobs, link);
		job_free(ctx, job);
	}
	ctl_raft_close(ctx);
	net_free(ctx->net);
	if (ctx->wake_fd >= 0)
		close(ctx->wake_fd);
	view_unref(ctx->view);
	g_hash_table_destroy(ctx->addresses);
	g_hash_table_destroy(ctx->replicas_seen);
	g_hash_table_destroy(ctx->forwards);
	g_hash_table_destroy(ctx->joins);
	g_hash_table_destroy(ctx->calls_by_id);
	g_hash_table_destroy(ctx->children);
	g_hash_table_destroy(ctx->statuses);
	g_hash_table_destroy(ctx->announcements);
	g_hash_table_destroy(ctx->announced);
	g_hash_table_destroy(ctx->demands);
	g_hash_table_destroy(ctx->paces);
	g_hash_table_destroy(ctx->loads);
	g_hash_table_destroy(ctx->members);
	g_hash_table_destroy(ctx->endpoints);
	g_hash_table_destroy(ctx->orders);
	occ_free(ctx->observed_up);
	occ_free(ctx->observed_down);
	pev_free(ctx->parts);
	if (ctx->streams)
		dsp__streams_begun__free_unpacked(ctx->streams, NULL);
	g_ptr_array_free(ctx->relays, TRUE);
	if (ctx->config)
		dsp__raft_config__free_unpacked(ctx->config, NULL);
	ctl_form_clear(ctx);
	g_strfreev(ctx->seeds);
	g_free(ctx->leader_node);
	g_free(ctx->leader_address);
	quo_free(ctx->quo);
	g_free(ctx->quota_leader);
	ctl_up_clear(&ctx->up);
	pthread_mutex_destroy(&ctx->lock);
	g_free(ctx);
}

/*
 * Opens the data folder and the internal socket and starts the thread. The
 * settings, clock and metrics must outlive ctl_stop(). Returns NULL with
 * CTL_ERROR_START if the socket cannot be bound, the folder is in use or the
 * thread cannot be created. A damaged or full folder is logged, and the
 * instance runs without a replica.
 */
struct ctl *ctl_start(const struct set *settings, struct clk *clock,
		      struct met *metrics,
		      const struct ctl_callbacks *callbacks, GError **err)
{
	struct ctl *ctx = ctl_new(settings, clock, metrics, callbacks);
	GError *error = NULL;

	ctx->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	ctx->net =
		net_new(settings->internal_listen, settings->internal_advertise,
			settings->id, ctx->boot, &error);
	if (!ctx->net)
		goto fail;
	for (size_t i = 0; i < settings->n_peers; i++)
		if (settings->peers[i].via)
			net_set_route(ctx->net, settings->peers[i].address,
				      settings->peers[i].via);
	if (!ctl_raft_open(ctx, &error))
		goto fail;
	/* With an edge, its order agent sends the orders. */
	if (!settings->has_edge)
		ctx->sender = ctl_order_open(ctx);
	if (pthread_create(&ctx->thread, NULL, run, ctx)) {
		g_set_error(&error, CTL_ERROR, CTL_ERROR_START,
			    "cannot create the control thread");
		goto fail;
	}
	return ctx;
fail:
	g_set_error(err, CTL_ERROR, CTL_ERROR_START, "%s",
		    error ? error->message : "unknown");
	g_clear_error(&error);
	ctl_free(ctx);
	return NULL;
}

/* Stops the thread and frees ctx. No other call may be in progress. */
void ctl_stop(struct ctl *ctx)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_STOP;
	ctl_post(ctx, job);
	pthread_join(ctx->thread, NULL);
	ctl_free(ctx);
}

/* Returns true if so many jobs wait for the control thread that announcements
 * should be refused; callable from any thread. */
bool ctl_is_behind(struct ctl *ctx)
{
	bool behind;

	pthread_mutex_lock(&ctx->lock);
	behind = ctx->n_jobs > JOBS_BEHIND;
	pthread_mutex_unlock(&ctx->lock);
	return behind;
}

/* Adds an endpoint's announcement to the next report; callable from any
 * thread. */
void ctl_announce(struct ctl *ctx, const Dsp__Announcement *announcement)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_ANNOUNCEMENT;
	job->announcement = msg_dup(announcement);
	ctl_post(ctx, job);
}

/* Adds demand to the next report; callable from any thread. */
void ctl_demand(struct ctl *ctx, const Dsp__Demand *demand)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_DEMAND;
	job->demand = msg_dup(demand);
	ctl_post(ctx, job);
}

/* Adds an endpoint's prefill rate to the next report; callable from any
 * thread. */
void ctl_pace(struct ctl *ctx, const Dsp__Pace *pace)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_PACE;
	job->pace = msg_dup(pace);
	ctl_post(ctx, job);
}

/* Reports the load that an answer carried, to the other instances; callable
 * from any thread. */
void ctl_observed_load(struct ctl *ctx, const Dsp__LoadReport *report)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_OBSERVED_LOAD;
	job->load = msg_dup(report);
	ctl_post(ctx, job);
}

/* Adds what this instance saw of prompt parts to the next report; callable from
 * any thread. */
void ctl_part_evidence(struct ctl *ctx, const Dsp__PartEvidence *evidence)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_PART_EVIDENCE;
	job->evidence = msg_dup(evidence);
	ctl_post(ctx, job);
}

/* Adds streams that began at this instance to the next report; callable from
 * any thread. Takes the message. */
void ctl_streams_begun(struct ctl *ctx, Dsp__StreamsBegun *begun)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_STREAMS;
	job->streams = begun;
	ctl_post(ctx, job);
}

/* Has another entry remember streams that began at this one; callable from any
 * thread. */
void ctl_stream_copies(struct ctl *ctx, const char *node,
		       const Dsp__StreamCopies *copies)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_STREAM_COPIES;
	job->stream_copies.node = g_strdup(node);
	job->stream_copies.copies = msg_dup(copies);
	ctl_post(ctx, job);
}

/* Sends asks to the leader; callable from any thread. Takes the message. */
void ctl_quota_ask(struct ctl *ctx, Dsp__QuotaAsks *asks)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_QUOTA_ASKS;
	job->quota_asks = asks;
	ctl_post(ctx, job);
}

/* Takes the instance off the entry list and transfers leadership; callable from
 * any thread. */
void ctl_drain(struct ctl *ctx)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_DRAIN;
	pthread_mutex_lock(&ctx->lock);
	ctx->draining = true;
	pthread_mutex_unlock(&ctx->lock);
	ctl_post(ctx, job);
}

/* Uses the seeds of changed settings from now on; callable from any thread. */
void ctl_reload(struct ctl *ctx, const struct set *settings)
{
	struct ctl_job *job = g_new0(struct ctl_job, 1);

	job->kind = CTL_JOB_SEEDS;
	job->seeds = list_seeds(ctx, settings);
	ctl_post(ctx, job);
}

/* Returns a new reference to the installed view; callable from any thread. */
struct view *ctl_view(struct ctl *ctx)
{
	struct view *view;

	pthread_mutex_lock(&ctx->lock);
	view = view_ref(ctx->view);
	pthread_mutex_unlock(&ctx->lock);
	return view;
}

/* Returns what the instance may serve now; callable from any thread. */
struct ctl_state ctl_state(struct ctl *ctx)
{
	int64_t confirmed_us = ctx->confirmed_us;
	int64_t now_us = clk_now_us(ctx->clock);
	struct ctl_state state = {
		.stale_us = confirmed_us ? MAX(now_us - confirmed_us, 0) : 0,
		.leaderless_us = MAX(now_us - ctx->leader_contact_us, 0),
		.boot = ctx->boot,
	};

	pthread_mutex_lock(&ctx->lock);
	state.draining = ctx->draining;
	state.lease = ctx->lease;
	pthread_mutex_unlock(&ctx->lock);
	state.readiness = ctl_rule_readiness(
		confirmed_us, now_us,
		(int64_t)ctx->set->isolated_after_ms * 1000,
		(int64_t)ctx->set->stale_limit_s * CTL_S_US, state.draining);
	return state;
}

/* Returns whether a command is likely to reach a leader in time; callable from
 * any thread. An instance that does not vote hears of a leader later. */
bool ctl_expects_leader(struct ctl *ctx)
{
	int64_t least_us =
		ctx->set->control ? 0 : ctx->set->isolated_after_ms * 1000LL;
	int64_t leaderless_us = ctl_state(ctx).leaderless_us;

	return leaderless_us <= least_us ||
	       ctl_rule_expects_leader(leaderless_us,
				       ctx->set->election_timeout_ms * 1000LL);
}
