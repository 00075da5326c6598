package dhcapacity

// inputs are the two-year size and the budgets of docs/design.md, section 1.4.
var inputs = []Figure{
	{"nodes", "1700", "entry VMs", ""},
	{"replicas", "4800", "backend servers", "on 38,000 accelerators"},
	{"requests", "65_000", "requests/s", "peak"},
	{"tokens", "22_000_000", "tokens/s", "peak"},
	{"firstToken", "0.89", "s", "95 in 100"},
	{"betweenTokens", "0.069", "s", "95 in 100"},
	{"versions", "19", "models and versions", "a rollout in progress most days"},
	{"zones", "7", "availability zones", "in 2 regions"},
	{"edits", "4000", "a day", "configuration changes"},
	{"editLimit", "12", "s", "until a change is in effect everywhere"},
	{"cpuBudget", "0.022", "cores", "control per node"},
	{"memoryBudget", "64_000_000", "B", "control per node"},
	{"bytesBudget", "5000", "B/s", "control per node"},
	{"dedicated", "11", "VMs", "set aside for control"},
	{"failures", "65", "a day", "VMs that fail"},
	{"restarts", "480", "a day", "VMs restarted or replaced"},
	{"trafficBudget", "0.5", "cores", "for 13,000 relayed tokens/s, section 1.7"},
	{"day", "86_400", "s", ""},
}

// assumptions are what no measurement and no requirement gives.
var assumptions = []Figure{
	{"voters", "5", "VMs", "set aside, spread over the zones"},
	{"sources", "7", "VMs", "sources of backend records, one per zone; voters may be sources as well"},
	{"orderShare", "0.01", "", "part of the requests that are not idempotent; each takes one claim"},
	{"dayShare", "0.5", "", "mean of a day's requests to the peak"},
	{"exportDelay", "60", "s", "until a bill has been exported and is forgotten"},
	{"vmCores", "8", "cores", "of a VM set aside, as fast as the measuring machine's"},
	{"vmMemory", "32_000_000_000", "B", "of a VM set aside"},
	{"vmBytes", "125_000_000", "B/s", "network of a VM set aside, 1 Gbit/s"},
	{"trafficMemory", "1_000_000_000", "B", "of an entry VM for traffic"},
	{"baseMemory", "15_000_000", "B", "Go runtime, code and TLS of an idle daemon; not measured"},
	{"collector", "2", "", "heap in use to live heap with the default GOGC"},
	{"tableVersions", "19", "versions", "in one pool, with 20 client accounts and 20 routes that allow all of them; the slopes are by versions"},
	{"zipRatio", "4", "", "of compressed tables"},
	{"sides", "2", "", "control bytes count what a node sends and what it receives, without TCP and IP headers"},
	{"exchangeSide", "0.5", "", "part of the CPU of an HTTP exchange that each side has"},
}

// figures are computed, role by role; the prefix of a name is its role.
var figures = []Figure{
	// Traffic of an entry VM.
	{"trafficRequests", "requests / nodes", "requests/s", ""},
	{"trafficTokens", "tokens / nodes", "tokens/s", ""},
	{"trafficDuration", "firstToken + tokens / requests * betweenTokens", "s", "of a request"},
	{"trafficStreams", "trafficRequests * trafficDuration", "streams", ""},
	{"trafficRelay", `trafficTokens * at("relay", "µs/token", 480) / 1_000_000`, "cores", "at 480 streams, the most that were measured"},
	{"trafficStart", `trafficRequests * start("request", "µs/request") / 1_000_000`, "cores", "per request, without its tokens"},
	{"trafficBills", `trafficRequests * voters * at("exchange", "cpu_us", 100) * exchangeSide / 1_000_000`, "cores", "sending each bill to the voters"},
	{"trafficCores", "trafficRelay + trafficStart + trafficBills", "cores", ""},
	{"trafficLimitNodes", "nodes * trafficCores / trafficBudget", "entry VMs or fewer", ""},
	{"trafficAnswers", "trafficRequests * (trafficDuration + 60)", "answers", "running or kept 60 s"},
	{"trafficAnswerBound", "4096", "answers", "default of the setting"},
	{"trafficAnswerBreak", "requests * trafficAnswerBound / trafficAnswers", "requests/s", ""},
	{"trafficAnswerMemory", `collector * trafficAnswers * per("answer", "heap_bytes")`, "B", ""},

	// What an entry VM spends today, because no source is set.
	{"todayExchanges", "16 / 0.5", "exchanges/s", "each period with as many members as MaxFanout allows"},
	{"todayBackendBytes", "sides * todayExchanges * controlSourceBytes", "B/s", "each answer has a subset of the zone's backend servers"},
	{"todayCounterBytes", `sides * 2 * todayExchanges * at("tick-counters", "gossip_bytes", 4096 / versions)`, "B/s", "each question and answer has all counters, at most 4,096"},
	{"todayCores", `todayExchanges * (at("exchange", "cpu_us", 1000) + at("source", "answer_cpu_us", 512)) / 1_000_000`, "cores", "asking and answering, messages of 1,000 B"},
	{"todayBytes", "controlBytes - controlSourceBytes - controlCounterBytes + todayBackendBytes + todayCounterBytes", "B/s", ""},

	// Control of an entry VM: bytes.
	{"controlGossipBytes", `sides * at("steady", "messages_per_member_s", 300) * (at("steady", "bytes_per_message", nodes) + at("exchange", "overhead_bytes", 100) / 2)`, "B/s", "two messages are one exchange"},
	{"controlChangeBytes", `sides * (failures + restarts) / day * (at("change-crash", "bytes_per_member", 300) + at("change-restart", "bytes_per_member", 300))`, "B/s", "membership changes"},
	{"controlSourceBytes", `at("source", "answer_bytes", replicas) + at("exchange", "overhead_bytes", 1000)`, "B/s", "one answer a second"},
	{"controlLeaseBytes", `2 * (at("lease-question", "bytes", voters) + voters * at("exchange", "overhead_bytes", 100))`, "B/s", "two questions a second to all voters"},
	{"controlTablesBytes", `edits / day * at("catch-up", "bytes", tableVersions)`, "B/s", "each voter answers with the whole tables"},
	{"controlMessages", `at("steady", "messages_per_member_s", 300) + 1`, "messages/s", "sent, with the question to a source; as many are received"},
	{"controlCounterBytes", `sides * controlMessages * at("tick-counters", "gossip_bytes", 4096 / versions)`, "B/s", "each message has all counters, at most 4,096"},
	{"controlIdleBytes", `sides * (nodes - 1) * per("connection", "idle_bytes_s")`, "B/s", "HTTP/2 pings of connections to and from all members"},
	{"controlBytes", "controlGossipBytes + controlChangeBytes + controlSourceBytes + controlLeaseBytes + controlTablesBytes + controlCounterBytes + controlIdleBytes", "B/s", "with sources"},
	{"controlBaseBytes", "controlGossipBytes + controlChangeBytes + controlSourceBytes + controlLeaseBytes", "B/s", "without tables, counters and idle connections"},
	{"controlCounterVMs", "4096 / versions", "entry VMs", "whose counters fit into dhversion.Evidence"},
	{"controlCounterBreak", `bytesBudget / sides / at("steady", "messages_per_member_s", 10) / per("tick-counters", "gossip_bytes")`, "answering entry VMs", ""},
	{"controlIdleBreak", `bytesBudget / sides / per("connection", "idle_bytes_s")`, "entry VMs", ""},
	{"controlTablesBreak", `bytesBudget * day / at("catch-up", "bytes", tableVersions)`, "changes a day", "with nothing else"},

	// Control of an entry VM: planned bytes.
	{"plannedLeaseBytes", "16 / 1.0", "B/s", "lease and revision in the source's answer: 16 B a second"},
	{"plannedTablesWhole", `edits / day * at("fetch", "bytes", tableVersions)`, "B/s", "one copy of the tables, from a source"},
	{"plannedTablesBytes", "plannedTablesWhole / zipRatio", "B/s", "compressed"},
	{"plannedTablesZipped", `at("fetch", "text_bytes", tableVersions) / at("fetch", "zipped_bytes", tableVersions)`, "", "the ratio of the generated tables, which repeat more than real ones; not used"},
	{"plannedCounterBytes", `2 * per("tick-counters", "gossip_bytes") / 5`, "B/s", "own counters to the source and the sums back, each 5 s"},
	{"plannedIdleBytes", `(4 + 3) * per("connection", "idle_bytes_s")`, "B/s", "7 connections kept: to sources, voters' stand-ins and recent peers"},
	{"plannedBytes", "controlGossipBytes + controlChangeBytes + controlSourceBytes + plannedLeaseBytes + plannedTablesBytes + plannedCounterBytes + plannedIdleBytes", "B/s", ""},

	// Control of an entry VM: processor time.
	{"cpuTick", `10 * at("tick-members", "cpu_us", nodes) / 1_000_000`, "cores", "ten ticks a second, 57 backend servers held"},
	{"cpuGossip", `(at("steady", "cpu_us_per_member_s", nodes) + at("steady", "messages_per_member_s", 300) / 2 * at("exchange", "cpu_us", 100)) / 1_000_000`, "cores", "the first part is the simulated network's as well"},
	{"cpuLease", `2 * (at("lease-question", "cpu_us", voters) + voters * exchangeSide * at("exchange", "cpu_us", 100)) / 1_000_000`, "cores", "the first part is that of the voters as well"},
	{"cpuSource", `exchangeSide * at("exchange", "cpu_us", 1000) / 1_000_000`, "cores", ""},
	{"cpuTables", `edits / day * at("catch-up", "cpu_us", tableVersions) / 1_000_000`, "cores", "includes one more parse than a daemon's"},
	{"cpuCounters", `10 * (at("tick-counters", "cpu_us", 4096 / versions) - at("tick-counters", "cpu_us", 10)) / 1_000_000`, "cores", "4,096 counters sorted and encoded each tick"},
	{"cpuControl", "cpuTick + cpuGossip + cpuLease + cpuSource + cpuTables + cpuCounters", "cores", ""},
	{"cpuWithoutCounters", "cpuControl - cpuCounters", "cores", ""},
	{"cpuMembersBreak", `(cpuBudget - cpuLease - cpuSource - cpuTables) * 1_000_000 / (10 * per("tick-members", "cpu_us") + per("steady", "cpu_us_per_member_s"))`, "entry VMs", ""},
	{"cpuCountersBreak", `cpuBudget * 1_000_000 / 10 / per("tick-counters", "cpu_us")`, "answering entry VMs", ""},

	// Control of an entry VM: memory.
	{"memoryState", `at("tick-members", "heap_bytes", nodes)`, "B", "members, backend servers, snapshot"},
	{"memoryHeaders", `30 * edits * per("header", "heap_bytes")`, "B", "30 days of headers"},
	{"memoryTables", `100 * at("fetch", "text_bytes", tableVersions)`, "B", "texts of 100 revisions"},
	{"memoryCounters", `4096 / versions * per("tick-counters", "heap_bytes")`, "B", ""},
	{"memoryConnections", `(nodes - 1) * per("connection", "memory_bytes")`, "B", "one side of as many connections in and out"},
	{"memoryControl", "baseMemory + collector * (memoryState + memoryHeaders + memoryTables + memoryCounters) + memoryConnections", "B", ""},
	{"memoryPlanned", "memoryControl - memoryConnections - collector * memoryHeaders", "B", "few connections, headers on the voters only"},
	{"memoryBreak", `(memoryBudget - memoryControl + memoryConnections) / per("connection", "memory_bytes")`, "connections", ""},

	// Voters.
	{"voterLeaseCores", `2 * nodes * (per("lease-question", "cpu_us") + exchangeSide * at("exchange", "cpu_us", 100)) / 1_000_000`, "cores", ""},
	{"voterClaims", "requests * orderShare", "claims/s", ""},
	{"voterClaimCores", `voterClaims * (per("claim", "cpu_us") + 6 * exchangeSide * at("exchange", "cpu_us", 100)) / 1_000_000`, "cores", "6 messages to each voter"},
	{"voterClaimBytes", `voterClaims * (per("claim", "bytes") + 6 * at("exchange", "overhead_bytes", 100))`, "B/s", ""},
	{"voterUpdates", "3 * voterClaims", "updates/s", ""},
	{"voterUpdatesMeasured", `at("update", "updates/s", 1000)`, "updates/s", "three voters, real files, on the measuring machine; elapsed time"},
	{"voterFsyncs", `2 * voterUpdates / at("update", "updates/fsync", 1000)`, "fsyncs/s", "an update is two records; at 1,000 concurrent"},
	{"voterClaimBreak", "orderShare * voterUpdatesMeasured / voterUpdates", "of the requests not idempotent", ""},
	{"voterClaimMemory", `day * voterClaims * dayShare * per("claim-memory", "heap_bytes_per_claim_all_voters")`, "B", "24 h of claims"},
	{"voterMemoryBreak", "orderShare * vmMemory / voterClaimMemory", "of the requests not idempotent", ""},
	{"voterEditCores", `edits / day * at("edit", "cpu_us", tableVersions) / 1_000_000`, "cores", "all voters and the proposer"},
	{"voterEditBurst", `nodes * at("fetch", "bytes", tableVersions) / 0.5`, "B/s", "all entry VMs read a new revision within 500 ms"},
	{"voterEditBreak", "nodes * vmBytes / voterEditBurst", "entry VMs", ""},

	// Ledger on the voters.
	{"ledgerCores", `requests * (at("bill", "cpu_us", 200000) + exchangeSide * at("exchange", "cpu_us", 100)) / 1_000_000`, "cores", "one message per bill: an entry VM has 38 bills/s"},
	{"ledgerBytes", `requests * (at("bill", "message_bytes", 200000) + at("exchange", "overhead_bytes", 100))`, "B/s", ""},
	{"ledgerDiskBytes", `requests * at("bill", "journal_bytes", 200000)`, "B/s", "records, without compaction"},
	{"ledgerBills", "requests * exportDelay", "bills", ""},
	{"ledgerBound", "500_000", "bills", "MaxBills"},
	{"ledgerBreak", "ledgerBound / exportDelay", "requests/s", ""},
	{"ledgerMemory", `collector * ledgerBills * at("bill", "heap_bytes", 200000)`, "B", ""},
	{"ledgerForgotten", "ledgerBound * 2 / requests", "s", "after which a bill that is put again is charged again: 1,000,000 digests"},
	{"ledgerForgottenNeed", "3600", "s", "assumed: a partitioned zone hands its bills over within an hour"},
	{"voterCores", "voterLeaseCores + voterClaimCores + voterEditCores + ledgerCores", "cores", "a voter with ledger"},
	{"voterCoresBreak", "requests * (vmCores - voterLeaseCores) / (voterCores - voterLeaseCores)", "requests/s", ""},

	// Sources of backend records.
	{"sourceQuestions", "nodes / sources", "questions/s", ""},
	{"sourceCores", `(sourceQuestions * (at("source", "answer_cpu_us", replicas) + exchangeSide * at("exchange", "cpu_us", 1000)) + replicas * (at("source", "announcement_cpu_us", replicas) + exchangeSide * at("exchange", "cpu_us", 100))) / 1_000_000`, "cores", "every source takes all announcements"},
	{"sourceBytes", "sourceQuestions * controlSourceBytes", "B/s", ""},
	{"sourceBound", "4096", "backend servers", "default of the setting limits.backends"},
	{"sourceMemory", `at("source", "heap_bytes", replicas)`, "B", ""},
	{"setAside", "voters + sources", "VMs", "when no voter is a source"},
	{"setAsideShared", "max(voters, sources)", "VMs", "when voters are sources as well"},

	// Spread of a change.
	{"spreadGossip", `at("change-revision", "spread_ms", nodes) / 1000`, "s", "by gossip alone; the line through three sizes"},
	{"spreadLease", `0.5 + at("catch-up", "cpu_us", tableVersions) / 1_000_000 + nodes * at("fetch", "bytes", tableVersions) / vmBytes`, "s", "by the question of the tables lease: period, CPU, and the voter's network"},
	{"spreadBreak", `(editLimit * 1000 - start("change-revision", "spread_ms")) / per("change-revision", "spread_ms")`, "entry VMs", ""},
	{"spreadLeaseBreak", "nodes * (editLimit - 0.5) / (spreadLease - 0.5)", "entry VMs", ""},
}
