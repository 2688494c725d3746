/**
 * The fault matrix as one table: what happens at which step, and what must
 * hold. A test proves a cell by its name; docs/FAULTS.md is written from the
 * results, and a cell without a test shows as not run.
 */
/** The points of the brief that must always hold, by number. */
export enum Invariant {
	NamedAdapter = 1,
	NoEvictionInUse = 2,
	WholeOwnAnswer = 3,
	NotRunTruly = 4,
	AtMostOnce = 5,
	NoWorkWhenLeaving = 6,
	PlannedStopCutsNothing = 7,
	ConfigurationForward = 8
}

export interface Cell {
	step: string
	fault: string
	/** What the caller or operator gets. */
	gets: string
	holds: Invariant[]
}

const {
	NamedAdapter,
	NoEvictionInUse,
	WholeOwnAnswer,
	NotRunTruly,
	AtMostOnce,
	NoWorkWhenLeaving,
	PlannedStopCutsNothing,
	ConfigurationForward
} = Invariant

export const cells = {
	"booking: retried elsewhere while it runs": {
		step: "sent",
		fault: "repeated call",
		gets: "both the same answer",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: retried elsewhere after it was answered": {
		step: "answered",
		fault: "repeated call",
		gets: "the stored answer",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: endpoint process killed after sending": {
		step: "sent",
		fault: "kill endpoint process",
		gets: "unknown, and never a second run",
		holds: [AtMostOnce, NotRunTruly]
	},
	"booking: endpoint process restarted after sending": {
		step: "recorded",
		fault: "kill endpoint process, twice",
		gets: "unknown from every later attempt",
		holds: [AtMostOnce, NotRunTruly]
	},
	"booking: claim written, its answer lost": {
		step: "claimed",
		fault: "platform loses the answer",
		gets: "the answer",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: outcome written, its answer lost": {
		step: "recorded",
		fault: "platform loses the answer, repeatedly",
		gets: "the same answer each time",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: platform down": {
		step: "claimed",
		fault: "platform outage",
		gets: "not run, at once",
		holds: [NotRunTruly, AtMostOnce]
	},
	"booking: platform down, with a ticket": {
		step: "claimed",
		fault: "platform outage",
		gets: "the answer",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: platform down between sending and recording": {
		step: "recorded",
		fault: "platform outage",
		gets: "the answer, and the same again",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: platform slow": {
		step: "claimed",
		fault: "platform slow",
		gets: "the answer",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: stale reads and another home": {
		step: "claimed",
		fault: "stale read, kill endpoint process",
		gets: "the stored answer",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: endpoint process frozen while it runs": {
		step: "sent",
		fault: "freeze and thaw endpoint process",
		gets: "unknown or the answer, and never a second run",
		holds: [AtMostOnce, NotRunTruly]
	},
	"booking: service runs it and loses the answer": {
		step: "answered",
		fault: "service cuts the connection",
		gets: "unknown, also on retry",
		holds: [AtMostOnce, NotRunTruly]
	},
	"booking: service refuses before the start": {
		step: "sent",
		fault: "service refuses",
		gets: "the answer, from a retry",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: entry killed while it runs": {
		step: "sent",
		fault: "kill entry",
		gets: "the answer, through the other entry",
		holds: [AtMostOnce, WholeOwnAnswer]
	},
	"booking: key used with another body": {
		step: "claimed",
		fault: "bad call",
		gets: "a refusal that names the key",
		holds: [NotRunTruly]
	},
	"booking: key of another Member": {
		step: "claimed",
		fault: "bad call",
		gets: "its own answer",
		holds: [WholeOwnAnswer]
	},
	"draft: endpoint process killed mid-stream": {
		step: "mid-stream",
		fault: "kill endpoint process",
		gets: "the whole text",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"draft: endpoint process frozen mid-stream": {
		step: "mid-stream",
		fault: "freeze endpoint process",
		gets: "the whole text, from another host",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"draft: entry killed mid-stream": {
		step: "mid-stream",
		fault: "kill entry",
		gets: "the rest through the other entry, byte for byte",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"draft: another Member resumes the stream": {
		step: "mid-stream",
		fault: "bad call",
		gets: "not run, and no text",
		holds: [WholeOwnAnswer]
	},
	"draft: engine restarts cold mid-stream": {
		step: "mid-stream",
		fault: "engine cold restart",
		gets: "the whole text",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"draft: engine restarts cold twice": {
		step: "mid-stream",
		fault: "engine cold restart, twice",
		gets: "the whole text",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"draft: engine cuts the stream": {
		step: "mid-stream",
		fault: "engine cuts the connection",
		gets: "the whole text",
		holds: [WholeOwnAnswer]
	},
	"draft: engine drops an event": {
		step: "mid-stream",
		fault: "message lost",
		gets: "the whole text",
		holds: [WholeOwnAnswer]
	},
	"draft: engine answers for another adapter": {
		step: "first token",
		fault: "answers crossed",
		gets: "never the foreign text",
		holds: [NamedAdapter]
	},
	"draft: adapter loads fail": {
		step: "adapter loading",
		fault: "weight store fails",
		gets: "the whole text, later",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"draft: platform down": {
		step: "queued",
		fault: "platform outage",
		gets: "the whole text",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"draft: more adapters than slots": {
		step: "adapter loading",
		fault: "crowd",
		gets: "each its own text",
		holds: [NamedAdapter, NoEvictionInUse, WholeOwnAnswer]
	},
	"draft: deadline that cannot be met": {
		step: "admitted",
		fault: "overload",
		gets: "not run, long before the deadline",
		holds: [NotRunTruly]
	},
	"fencing: thawed predecessor, engine checks": {
		step: "sent",
		fault: "freeze and thaw endpoint process",
		gets: "the old process stops",
		holds: [NamedAdapter, NoEvictionInUse]
	},
	"fencing: replacement while the predecessor is frozen": {
		step: "sent",
		fault: "freeze and thaw endpoint process, engine ignores fencing numbers",
		gets: "no second sender at the address",
		holds: [NamedAdapter, AtMostOnce]
	},
	"stop: endpoint process with running and queued drafts": {
		step: "draining",
		fault: "planned stop",
		gets: "every text whole",
		holds: [PlannedStopCutsNothing, NoWorkWhenLeaving, WholeOwnAnswer]
	},
	"stop: entry with running drafts": {
		step: "draining",
		fault: "planned stop",
		gets: "every text whole",
		holds: [PlannedStopCutsNothing, WholeOwnAnswer]
	},
	"stop: service host with a running booking": {
		step: "draining",
		fault: "planned stop",
		gets: "the answer, and the same again elsewhere",
		holds: [PlannedStopCutsNothing, AtMostOnce]
	},
	"stop: all endpoint hosts one after the other under load": {
		step: "draining",
		fault: "rolling restart",
		gets: "every text whole",
		holds: [PlannedStopCutsNothing, WholeOwnAnswer, NamedAdapter]
	},
	"stop: only the lagging list says leaving": {
		step: "announced",
		fault: "live list lags",
		gets: "no new work there once listed",
		holds: [NoWorkWhenLeaving]
	},
	"configuration: applied while requests run": {
		step: "in force",
		fault: "none",
		gets: "the new generation everywhere",
		holds: [ConfigurationForward]
	},
	"configuration: platform down right after acceptance": {
		step: "spread",
		fault: "platform outage",
		gets: "the new generation everywhere",
		holds: [ConfigurationForward]
	},
	"configuration: processes restart in an outage": {
		step: "in force",
		fault: "platform outage, kill entry and endpoint process",
		gets: "the newest generation from peers",
		holds: [ConfigurationForward]
	},
	"configuration: platform returns with a stale replica": {
		step: "in force",
		fault: "stale read",
		gets: "never an older generation",
		holds: [ConfigurationForward]
	},
	"configuration: watch misses events": {
		step: "spread",
		fault: "watch gap",
		gets: "the new generation everywhere",
		holds: [ConfigurationForward]
	},
	"configuration: adapter removed while requests run": {
		step: "in force",
		fault: "operator removes a version",
		gets: "running texts whole, new calls rejected",
		holds: [NamedAdapter, WholeOwnAnswer]
	},
	"booking: link to the endpoint process cut": {
		step: "sent",
		fault: "link cut both ways",
		gets: "unknown or the answer, and never a second run",
		holds: [AtMostOnce, NotRunTruly]
	},
	"booking: answers cut on the way back": {
		step: "answered",
		fault: "link cut one way",
		gets: "unknown or the answer, and never a second run",
		holds: [AtMostOnce, NotRunTruly]
	},
	"draft: link cut mid-stream": {
		step: "mid-stream",
		fault: "link cut both ways",
		gets: "the whole text",
		holds: [WholeOwnAnswer, NamedAdapter]
	},
	"draft: link slow": {
		step: "forwarded",
		fault: "link slow",
		gets: "the whole text",
		holds: [WholeOwnAnswer]
	}
} satisfies Record<string, Cell>

export type CellName = keyof typeof cells
