package dhcapacity

// breaks are the sizes at which a need reaches its budget while all else stays
// the same.
var breaks = []Figure{
	{"breakExchanges", "bytesBudget / sides / controlSourceBytes", "exchanges/s", ""},
	{"breakTodayCounters", `bytesBudget / sides / 2 / todayExchanges / per("tick-counters", "gossip_bytes")`, "answering entry VMs", ""},
	{"breakTodayCores", "todayExchanges * cpuBudget / todayCores", "exchanges/s", ""},
	{"breakGossip", `(bytesBudget / sides / 2 - at("exchange", "overhead_bytes", 100) / 2 - start("steady", "bytes_per_message")) / per("steady", "bytes_per_message")`, "entry VMs", ""},
	{"breakBase", "versions * (bytesBudget - controlBaseBytes + controlSourceBytes) / controlSourceBytes", "versions", "when only the source's answer shrinks"},
	{"breakPlanned", `((bytesBudget - plannedBytes + controlGossipBytes) / sides / 2 - at("exchange", "overhead_bytes", 100) / 2 - start("steady", "bytes_per_message")) / per("steady", "bytes_per_message")`, "entry VMs", ""},
	{"breakPlannedVersions", "versions * (bytesBudget - plannedBytes + controlSourceBytes) / controlSourceBytes", "versions", "the source's answer grows with them"},
	{"breakZone", `bytesBudget * 60 / sides / at("change-crash", "bytes_per_member", 300)`, "VMs lost at once", ""},
	{"breakSourceVersions", "versions * bytesBudget / controlSourceBytes", "versions", ""},
	{"breakLeaseQuestions", "2 * bytesBudget / controlLeaseBytes", "questions/s", ""},
	{"breakControlCores", `(cpuBudget - cpuWithoutCounters) * 1_000_000 / 10 / per("tick-counters", "cpu_us")`, "answering entry VMs", ""},
	{"breakTables", `at("fetch", "text_bytes", tableVersions) + (memoryBudget - memoryPlanned) / collector / 100`, "B of tables", ""},
	{"breakLeaseNodes", "nodes * vmCores / voterLeaseCores", "entry VMs", ""},
	{"breakForgotten", "2 * ledgerBound / ledgerForgottenNeed", "requests/s", ""},
	{"breakLedgerMemory", "requests * vmMemory / ledgerMemory", "requests/s", ""},
	{"breakLedgerBytes", "requests * vmBytes / ledgerBytes", "requests/s", ""},
	{"breakKeeperMemory", "requests * vmMemory / keeperVMMemory", "requests/s", ""},
	{"breakSourceCores", "replicas * vmCores / sourceCores", "backend servers", "with entry VMs in proportion"},
	{"breakSourceBytes", "nodes * vmBytes / sourceBytes", "entry VMs", ""},
	{"breakZones", "dedicated - voters", "zones", "one source each"},
	{"breakZonesShared", "dedicated", "zones", "one source each"},
}
