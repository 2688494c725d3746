/**
 * The fault matrix. Each cell names a fault, the step of a request or change at
 * which it is injected, and the invariants that must hold. A cell is tested by
 * the test of the same name. scripts/writeFaults.mjs writes docs/FAULTS.md from
 * the test results and shows a cell without a result as not run.
 */
/** Invariants, numbered as in scripts/writeFaults.mjs. */
export enum Invariant {
	AnsweredByNamedAdapter = 1,
	NoEvictionOfUsedAdapter = 2,
	CompleteOwnAnswer = 3,
	NotRunCallNeverRan = 4,
	AtMostOnce = 5,
	NoNewWorkWhenLeaving = 6,
	PlannedStopCutsNoRequest = 7,
	ConfigurationNeverReverts = 8
}

export interface Cell {
	step: string
	fault: string
	/** Result for the caller or operator. */
	gets: string
	holds: Invariant[]
}

const {
	AnsweredByNamedAdapter,
	NoEvictionOfUsedAdapter,
	CompleteOwnAnswer,
	NotRunCallNeverRan,
	AtMostOnce,
	NoNewWorkWhenLeaving,
	PlannedStopCutsNoRequest,
	ConfigurationNeverReverts
} = Invariant

export const cells = {
	"booking: retried elsewhere while it runs": {
		step: "sent",
		fault: "repeated call",
		gets: "both the same answer",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: retried elsewhere after it was answered": {
		step: "answered",
		fault: "repeated call",
		gets: "the stored answer",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: endpoint process killed after sending": {
		step: "sent",
		fault: "kill endpoint process",
		gets: "unknown, and never a second run",
		holds: [AtMostOnce, NotRunCallNeverRan]
	},
	"booking: endpoint process restarted after sending": {
		step: "recorded",
		fault: "kill endpoint process, twice",
		gets: "unknown from every later attempt",
		holds: [AtMostOnce, NotRunCallNeverRan]
	},
	"booking: claim written, its answer lost": {
		step: "claimed",
		fault: "platform loses the answer",
		gets: "the answer",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: outcome written, its answer lost": {
		step: "recorded",
		fault: "platform loses the answer, repeatedly",
		gets: "the same answer each time",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: platform down": {
		step: "claimed",
		fault: "platform outage",
		gets: "not run, at once",
		holds: [NotRunCallNeverRan, AtMostOnce]
	},
	"booking: platform down, with a ticket": {
		step: "claimed",
		fault: "platform outage",
		gets: "the answer",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: platform down between sending and recording": {
		step: "recorded",
		fault: "platform outage",
		gets: "the answer, and the same again",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: platform slow": {
		step: "claimed",
		fault: "platform slow",
		gets: "the answer",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: stale reads and another home": {
		step: "claimed",
		fault: "stale read, kill endpoint process",
		gets: "the stored answer",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: endpoint process frozen while it runs": {
		step: "sent",
		fault: "freeze and thaw endpoint process",
		gets: "unknown or the answer, and never a second run",
		holds: [AtMostOnce, NotRunCallNeverRan]
	},
	"booking: service runs it and loses the answer": {
		step: "answered",
		fault: "service cuts the connection",
		gets: "unknown, also on retry",
		holds: [AtMostOnce, NotRunCallNeverRan]
	},
	"booking: service refuses before the start": {
		step: "sent",
		fault: "service refuses",
		gets: "the answer, from a retry",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: entry killed while it runs": {
		step: "sent",
		fault: "kill entry",
		gets: "the answer, through the other entry",
		holds: [AtMostOnce, CompleteOwnAnswer]
	},
	"booking: key used with another body": {
		step: "claimed",
		fault: "bad call",
		gets: "a refusal that names the key",
		holds: [NotRunCallNeverRan]
	},
	"booking: key of another Member": {
		step: "claimed",
		fault: "bad call",
		gets: "its own answer",
		holds: [CompleteOwnAnswer]
	},
	"draft: endpoint process killed mid-stream": {
		step: "mid-stream",
		fault: "kill endpoint process",
		gets: "the whole text",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"draft: endpoint process frozen mid-stream": {
		step: "mid-stream",
		fault: "freeze endpoint process",
		gets: "the whole text, from another host",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"draft: entry killed mid-stream": {
		step: "mid-stream",
		fault: "kill entry",
		gets: "the rest through the other entry, byte for byte",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"draft: another Member resumes the stream": {
		step: "mid-stream",
		fault: "bad call",
		gets: "not run, and no text",
		holds: [CompleteOwnAnswer]
	},
	"draft: engine restarts cold mid-stream": {
		step: "mid-stream",
		fault: "engine cold restart",
		gets: "the whole text",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"draft: engine restarts cold twice": {
		step: "mid-stream",
		fault: "engine cold restart, twice",
		gets: "the whole text",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"draft: engine cuts the stream": {
		step: "mid-stream",
		fault: "engine cuts the connection",
		gets: "the whole text",
		holds: [CompleteOwnAnswer]
	},
	"draft: engine drops an event": {
		step: "mid-stream",
		fault: "message lost",
		gets: "the whole text",
		holds: [CompleteOwnAnswer]
	},
	"draft: engine answers for another adapter": {
		step: "first token",
		fault: "answers crossed",
		gets: "never the foreign text",
		holds: [AnsweredByNamedAdapter]
	},
	"draft: adapter loads fail": {
		step: "adapter loading",
		fault: "weight store fails",
		gets: "the whole text, later",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"draft: platform down": {
		step: "queued",
		fault: "platform outage",
		gets: "the whole text",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"draft: more adapters than slots": {
		step: "adapter loading",
		fault: "crowd",
		gets: "each its own text",
		holds: [AnsweredByNamedAdapter, NoEvictionOfUsedAdapter, CompleteOwnAnswer]
	},
	"draft: deadline that cannot be met": {
		step: "admitted",
		fault: "overload",
		gets: "not run, long before the deadline",
		holds: [NotRunCallNeverRan]
	},
	"fencing: thawed predecessor, engine checks": {
		step: "sent",
		fault: "freeze and thaw endpoint process",
		gets: "the old process stops",
		holds: [AnsweredByNamedAdapter, NoEvictionOfUsedAdapter]
	},
	"fencing: replacement while the predecessor is frozen": {
		step: "sent",
		fault: "freeze and thaw endpoint process, engine ignores fencing numbers",
		gets: "no second sender at the address",
		holds: [AnsweredByNamedAdapter, AtMostOnce]
	},
	"stop: endpoint process with running and queued drafts": {
		step: "draining",
		fault: "planned stop",
		gets: "every text whole",
		holds: [PlannedStopCutsNoRequest, NoNewWorkWhenLeaving, CompleteOwnAnswer]
	},
	"stop: entry with running drafts": {
		step: "draining",
		fault: "planned stop",
		gets: "every text whole",
		holds: [PlannedStopCutsNoRequest, CompleteOwnAnswer]
	},
	"stop: service host with a running booking": {
		step: "draining",
		fault: "planned stop",
		gets: "the answer, and the same again elsewhere",
		holds: [PlannedStopCutsNoRequest, AtMostOnce]
	},
	"stop: all endpoint hosts one after the other under load": {
		step: "draining",
		fault: "rolling restart",
		gets: "every text whole",
		holds: [PlannedStopCutsNoRequest, CompleteOwnAnswer, AnsweredByNamedAdapter]
	},
	"stop: only the lagging list says leaving": {
		step: "announced",
		fault: "live list lags",
		gets: "no new work there once listed",
		holds: [NoNewWorkWhenLeaving]
	},
	"configuration: applied while requests run": {
		step: "in force",
		fault: "none",
		gets: "the new generation everywhere",
		holds: [ConfigurationNeverReverts]
	},
	"configuration: platform down right after acceptance": {
		step: "spread",
		fault: "platform outage",
		gets: "the new generation everywhere",
		holds: [ConfigurationNeverReverts]
	},
	"configuration: processes restart in an outage": {
		step: "in force",
		fault: "platform outage, kill entry and endpoint process",
		gets: "the newest generation from peers",
		holds: [ConfigurationNeverReverts]
	},
	"configuration: platform returns with a stale replica": {
		step: "in force",
		fault: "stale read",
		gets: "never an older generation",
		holds: [ConfigurationNeverReverts]
	},
	"configuration: watch misses events": {
		step: "spread",
		fault: "watch gap",
		gets: "the new generation everywhere",
		holds: [ConfigurationNeverReverts]
	},
	"configuration: adapter removed while requests run": {
		step: "in force",
		fault: "operator removes a version",
		gets: "running texts whole, new calls rejected",
		holds: [AnsweredByNamedAdapter, CompleteOwnAnswer]
	},
	"booking: link to the endpoint process cut": {
		step: "sent",
		fault: "link cut both ways",
		gets: "unknown or the answer, and never a second run",
		holds: [AtMostOnce, NotRunCallNeverRan]
	},
	"booking: answers cut on the way back": {
		step: "answered",
		fault: "link cut one way",
		gets: "unknown or the answer, and never a second run",
		holds: [AtMostOnce, NotRunCallNeverRan]
	},
	"draft: link cut mid-stream": {
		step: "mid-stream",
		fault: "link cut both ways",
		gets: "the whole text",
		holds: [CompleteOwnAnswer, AnsweredByNamedAdapter]
	},
	"draft: link slow": {
		step: "forwarded",
		fault: "link slow",
		gets: "the whole text",
		holds: [CompleteOwnAnswer]
	}
} satisfies Record<string, Cell>

export type CellName = keyof typeof cells
