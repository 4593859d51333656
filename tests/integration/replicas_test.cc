#include "system.h"

#include <fcntl.h>
#include <sys/resource.h>

/* Tests of replicas with lost or full disks, damaged logs, network partitions
 * and silent connections. */

namespace
{

/* Returns the replica identities of the voters, by instance name; empty while a
 * repair is not finished, or if the given instance does not answer. */
std::map<std::string, std::string> voters(const System &system, size_t instance)
{
	json_t *status = cluster_status(system.cluster, instance);
	std::map<std::string, std::string> out;
	const json_t *replica;
	bool settled = status &&
		       json_array_size(json_object_get(status, "repairs")) == 0;
	size_t i;

	json_array_foreach(json_object_get(status, "replicas"), i, replica)
	{
		if (System::string(replica, "state") != "voter")
			settled = false;
		else
			out[System::string(replica, "instance")] =
				System::string(replica, "replica");
	}
	json_decref(status);
	return settled ? out : std::map<std::string, std::string>();
}

/* Returns the Raft term that the instance reports. */
uint64_t term(const System &system, size_t instance)
{
	json_t *status = cluster_status(system.cluster, instance);
	uint64_t term =
		(uint64_t)json_integer_value(json_object_get(status, "term"));

	json_decref(status);
	return term;
}

/* Returns the role of the instance's replica. */
std::string role(const System &system, size_t instance)
{
	json_t *status = cluster_status(system.cluster, instance);
	std::string role = System::string(status, "role");

	json_decref(status);
	return role;
}

/* Kills an instance, wipes its disk, restarts it, and waits until the repair is
 * finished: its new replica is a voter and has replaced the old one. */
void lose_disk_and_repair(System &system, size_t lost)
{
	size_t witness = (lost + 1) % system.count;
	std::string name = "node" + std::to_string(lost + 1);
	std::map<std::string, std::string> before;

	ASSERT_TRUE(System::wait_for([&] {
		before = voters(system, witness);
		return before.size() == system.count;
	}));
	cluster_kill(system.cluster, lost);
	cluster_wipe(system.cluster, lost);
	cluster_start(system.cluster, lost);
	EXPECT_TRUE(System::wait_for([&] {
		std::map<std::string, std::string> now =
			voters(system, witness);

		return now.size() == system.count && now[name] != before[name];
	})) << "the repair of "
	    << name << " is not finished";
}

std::string log_of(const System &system, size_t instance)
{
	char *path = cluster_log_path(system.cluster, instance);
	char *text = nullptr;
	std::string out;

	if (g_file_get_contents(path, &text, nullptr, nullptr))
		out = text;
	g_free(text);
	g_free(path);
	return out;
}

/* Returns the path of the newest log segment of a stopped instance. */
std::string newest_segment(const System &system, size_t instance)
{
	char *folder = cluster_data_folder(system.cluster, instance);
	GDir *dir = g_dir_open(folder, 0, nullptr);
	std::string newest;
	const char *name;

	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".log") && newest < name)
			newest = name;
	if (dir)
		g_dir_close(dir);
	newest = std::string(folder) + "/" + newest;
	g_free(folder);
	return newest;
}

} // namespace

/* Guards against the loss of state when disks are lost one after the other,
 * each right after the repair of the one before: every repair must leave a full
 * group. All three original disks are gone at the end. */
TEST(Replicas, DisksLostOneAfterTheOther)
{
	System system;

	system.start();
	system.endpoint("bookings1", { "--plain", "--service", "bookings" });
	ASSERT_EQ(system.put_document(0, 1).status, 200);
	Reply booked;
	ASSERT_TRUE(System::wait_for([&] {
		booked = system.book(0, "before");
		return booked.status == 201;
	})) << booked.body;
	for (size_t lost = 0; lost < 3; lost++) {
		lose_disk_and_repair(system, lost);
		ASSERT_TRUE(System::wait_for([&] {
			return system.put_document(lost, lost + 2).status ==
			       200;
		})) << "no document is accepted after the repair";
	}
	for (size_t i = 0; i < 3; i++) {
		EXPECT_TRUE(cluster_wait_document(system.cluster, i, "demo", 4,
						  kTimeoutMs));
		EXPECT_TRUE(System::wait_for([&] {
			return system.book(i, "before").body == booked.body;
		})) << "a booking was forgotten";
	}
	EXPECT_EQ(system.runs("{\"slot\":1}"), 1u);
}

/* Pre-vote and check-quorum: a voter that was cut off for many election
 * timeouts returns without causing an election. */
TEST(Replicas, ReturningVoterDoesNotDisturb)
{
	System system(3, 3, true);

	system.start();
	int leader = system.wait_leader();
	size_t cut = ((size_t)leader + 1) % 3;
	uint64_t before = term(system, (size_t)leader);
	cluster_isolate(system.cluster, cut, true);
	usleep(4000000); /* eight election timeouts */
	cluster_isolate(system.cluster, cut, false);
	EXPECT_TRUE(System::wait_for(
		[&] { return system.put_document(cut, 1).status == 200; }));
	EXPECT_EQ(term(system, (size_t)leader), before);
	EXPECT_EQ(system.leader(), leader);
}

/* Check-quorum with a failure in one direction: a leader that receives but
 * cannot send steps down, and follows once it can send again. */
TEST(Replicas, MutedLeaderGivesWay)
{
	System system(3, 3, true);

	system.start();
	int leader = system.wait_leader();
	size_t other = ((size_t)leader + 1) % 3;
	cluster_mute(system.cluster, (size_t)leader, true);
	ASSERT_TRUE(System::wait_for([&] {
		return system.put_document(other, 1, "", 5000).status == 200;
	}));
	EXPECT_NE(
		system.put_document((size_t)leader, 1, System::model("x"), 3000)
			.status,
		200);
	cluster_mute(system.cluster, (size_t)leader, false);
	EXPECT_TRUE(cluster_wait_document(system.cluster, (size_t)leader,
					  "demo", 1, kTimeoutMs));
}

/* All open connections between instances go silent for good, but new ones work:
 * they are replaced after the silence limit, and commands commit again. */
TEST(Replicas, SilentConnectionsBetweenInstancesAreReplaced)
{
	System system(3, 3, true);

	system.start();
	ASSERT_EQ(system.put_document(0, 1).status, 200);
	for (size_t from = 0; from < 3; from++)
		for (size_t to = 0; to < 3; to++)
			if (from != to)
				proxy_silence_open(cluster_proxy(system.cluster,
								 from, to));
	EXPECT_TRUE(System::wait_for([&] {
		return system.put_document(1, 2, "", 5000).status == 200;
	}));
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(cluster_wait_document(system.cluster, i, "demo", 2,
						  kTimeoutMs));
}

/* A leader whose disk is full steps down and reports the failure, its entry
 * role continues, nothing acknowledged is lost, and after a restart with free
 * space it votes again. */
TEST(Replicas, FullDiskStepsAside)
{
	System system;
	struct rlimit none = { 0, 0 };

	system.start();
	ASSERT_EQ(system.put_document(0, 1).status, 200);
	size_t full = (size_t)system.wait_leader();
	size_t other = (full + 1) % 3;
	ASSERT_EQ(prlimit(cluster_pid(system.cluster, full), RLIMIT_FSIZE,
			  &none, nullptr),
		  0);
	EXPECT_TRUE(System::wait_for([&] {
		return system.put_document(other, 2, "", 5000).status == 200;
	}));
	EXPECT_TRUE(System::wait_for([&] {
		return role(system, full) == "disk_failed";
	})) << role(system, full);
	EXPECT_NE(system.wait_leader(), (int)full);
	EXPECT_TRUE(cluster_wait_document(system.cluster, full, "demo", 2,
					  kTimeoutMs))
		<< "the entry of the full instance does not follow";
	cluster_kill(system.cluster, full);
	cluster_start(system.cluster, full);
	ASSERT_TRUE(cluster_wait_serving(system.cluster, full, kTimeoutMs));
	/* With the third instance gone, a commit needs the repaired voter. */
	cluster_kill(system.cluster, (full + 2) % 3);
	EXPECT_TRUE(System::wait_for([&] {
		return system.put_document(other, 3, "", 5000).status == 200;
	}));
}

/* Torn tail of the log: a record that was being written at a power loss is
 * truncated, and the replica starts and votes. */
TEST(Replicas, TornTailIsCut)
{
	System system;

	system.start();
	for (uint64_t n = 1; n <= 5; n++)
		ASSERT_EQ(system.put_document(0, n).status, 200);
	for (size_t i = 0; i < 3; i++)
		cluster_kill(system.cluster, i);
	std::string path = newest_segment(system, 0);
	int fd = open(path.c_str(), O_WRONLY | O_APPEND);
	ASSERT_GE(fd, 0) << path;
	/* Only the beginning of a record, which was never synced. */
	ASSERT_EQ(write(fd, "\x40\0\0\0\x01", 5), 5);
	close(fd);
	/* With two of three voters a commit needs the vote of the replica whose
	 * log was torn. */
	cluster_start(system.cluster, 0);
	cluster_start(system.cluster, 1);
	ASSERT_TRUE(cluster_wait_serving(system.cluster, 0, kTimeoutMs));
	EXPECT_TRUE(System::wait_for(
		[&] { return system.put_document(0, 6).status == 200; }));
}

/* Damage before the tail of the log: the replica must not vote, since it cannot
 * read its log, and it logs the reason; the other voters continue. */
TEST(Replicas, DamagedLogDoesNotVote)
{
	System system;

	system.start();
	for (uint64_t n = 1; n <= 5; n++)
		ASSERT_EQ(system.put_document(0, n).status, 200);
	for (size_t i = 0; i < 3; i++)
		cluster_kill(system.cluster, i);
	std::string path = newest_segment(system, 0);
	int fd = open(path.c_str(), O_RDWR);
	ASSERT_GE(fd, 0) << path;
	off_t middle = lseek(fd, 0, SEEK_END) / 2;
	char byte;
	ASSERT_EQ(pread(fd, &byte, 1, middle), 1);
	byte = (char)~byte;
	ASSERT_EQ(pwrite(fd, &byte, 1, middle), 1);
	close(fd);
	/* One working voter of three is no quorum, so no leader is elected. */
	cluster_start(system.cluster, 0);
	cluster_start(system.cluster, 1);
	usleep(4000000);
	EXPECT_EQ(system.leader(), -1);
	EXPECT_NE(log_of(system, 0).find("damaged"), std::string::npos);
	cluster_start(system.cluster, 2);
	EXPECT_TRUE(System::wait_for([&] {
		return system.put_document(1, 6, "", 5000).status == 200;
	}));
}
