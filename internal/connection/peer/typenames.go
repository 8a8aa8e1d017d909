package peer

// typeNames are the names of message types in metrics.
var typeNames = map[Type]string{
	Hello: "hello", GoAway: "go_away", StreamEnd: "stream_end", CallRefusal: "call_refusal",
	TurnRequest: "turn_request", TurnChunk: "turn_chunk", TurnEnd: "turn_end", TurnRefusal: "turn_refusal",
	TurnCancel: "turn_cancel", TurnCredit: "turn_credit", RunEnd: "run_end", RunSettle: "run_settle",
	LimitAsk: "limit_ask", LimitGrant: "limit_grant", ConfigNotice: "config_notice", ConfigConfirm: "config_confirm",
	SlotNotice: "slot_notice", EventQuery: "event_query", EventPage: "event_page",
	StatusQuery: "status_query", StatusPage: "status_page", ShareAsk: "share_ask", ShareGrant: "share_grant",
	StoreAsk: "store_ask", StoreReply: "store_reply",
	LedgerOpen: "ledger_open", LedgerRecord: "ledger_record", LedgerSettle: "ledger_settle", LedgerReply: "ledger_reply",
	ReplicaNotice: "replica_notice", ReplicaNoted: "replica_noted", CrashNotice: "crash_notice", CrashNoted: "crash_noted",
	ForwardAsk: "forward_ask", ForwardHead: "forward_head", ForwardBody: "forward_body", ForwardEnd: "forward_end",
	HistoryAsk: "history_ask", HistoryState: "history_state", HistoryAccept: "history_accept", HistoryPart: "history_part",
}

// TypeNames returns the names of message types in metrics. LimitRecall and LimitAccount
// have none. The caller must not change the map.
func TypeNames() map[Type]string { return typeNames }
