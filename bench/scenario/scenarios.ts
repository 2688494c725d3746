/** The scenarios of the bench, as data. */
import {type CallKind, CallType, type LoadStep} from "../load/index.js"
import {DeploymentName} from "../deployment/index.js"

export enum ScenarioName {
	LunchCrowd = "lunch-crowd",
	MonthEnd = "month-end",
	SeasonOpening = "season-opening",
	HotAdapter = "hot-adapter",
	LongTail = "long-tail",
	ColdRestart = "cold-restart",
	SlowStore = "slow-store",
	PlatformOutage = "platform-outage",
	KillEntry = "kill-entry",
	KillEndpoint = "kill-endpoint",
	RollingRestart = "rolling-restart"
}

/** What the bench does to the deployment during a run. */
export enum FaultAction {
	/** Engines of the first endpoint host lose what they had loaded. */
	ColdRestart = "coldRestart",
	/** The weight store loads at half speed and one load in ten fails. */
	SlowStore = "slowStore",
	RestoreStore = "restoreStore",
	PlatformDown = "platformDown",
	PlatformUp = "platformUp",
	KillEntry = "killEntry",
	RestartEntry = "restartEntry",
	/** Kills one endpoint process of each pool. */
	KillEndpoints = "killEndpoints",
	RestartEndpoints = "restartEndpoints",
	/** Stops and restarts every process in turn, as a planned release. */
	RollingRestart = "rollingRestart"
}

export interface FaultStep {
	/** Share of the measured part of the run. */
	atShare: number
	action: FaultAction
}

/** Weights of the four kinds of call. */
export interface Mix {
	interactive: number
	deferrable: number
	submission: number
	status: number
}

export interface Scenario {
	name: ScenarioName
	description: string
	mix: Mix
	/** Drafts a second as a share of the ungrouped bound of the store. */
	load: number
	zipfExponent: number
	hotShare: number
	loadSteps: LoadStep[]
	faults: FaultStep[]
}

const usualMix: Mix = {
	interactive: 5,
	deferrable: 2,
	submission: 1,
	status: 2
}

const usual = {
	mix: usualMix,
	load: 0.8,
	zipfExponent: 1,
	hotShare: 0,
	loadSteps: [],
	faults: []
}

export const scenarios: Record<ScenarioName, Scenario> = {
	[ScenarioName.LunchCrowd]: {
		...usual,
		name: ScenarioName.LunchCrowd,
		description: "twice the arrivals in the middle half",
		loadSteps: [
			{atShare: 0.25, rateFactor: 2},
			{atShare: 0.75, rateFactor: 1}
		]
	},
	[ScenarioName.MonthEnd]: {
		...usual,
		name: ScenarioName.MonthEnd,
		description: "a surge, mostly drafts that can wait",
		mix: {interactive: 2, deferrable: 8, submission: 2, status: 4},
		load: 1.5
	},
	[ScenarioName.SeasonOpening]: {
		...usual,
		name: ScenarioName.SeasonOpening,
		description: "other adapters become popular at half time",
		loadSteps: [{atShare: 0.5, shiftBy: 1500}]
	},
	[ScenarioName.HotAdapter]: {
		...usual,
		name: ScenarioName.HotAdapter,
		description: "half of the drafts name one adapter",
		hotShare: 0.5,
		load: 1.5
	},
	[ScenarioName.LongTail]: {
		...usual,
		name: ScenarioName.LongTail,
		description: "popularity is flat, few requests find a resident adapter",
		zipfExponent: 0.6
	},
	[ScenarioName.ColdRestart]: {
		...usual,
		name: ScenarioName.ColdRestart,
		description: "the engines of one host restart with nothing loaded",
		faults: [{atShare: 0.4, action: FaultAction.ColdRestart}]
	},
	[ScenarioName.SlowStore]: {
		...usual,
		name: ScenarioName.SlowStore,
		description: "the weight store at half speed, one load in ten fails",
		load: 0.6,
		faults: [
			{atShare: 0.25, action: FaultAction.SlowStore},
			{atShare: 0.75, action: FaultAction.RestoreStore}
		]
	},
	[ScenarioName.PlatformOutage]: {
		...usual,
		name: ScenarioName.PlatformOutage,
		description: "the platform is down for half of the run",
		faults: [
			{atShare: 0.25, action: FaultAction.PlatformDown},
			{atShare: 0.75, action: FaultAction.PlatformUp}
		]
	},
	[ScenarioName.KillEntry]: {
		...usual,
		name: ScenarioName.KillEntry,
		description: "one entry is killed and comes back",
		faults: [
			{atShare: 0.4, action: FaultAction.KillEntry},
			{atShare: 0.6, action: FaultAction.RestartEntry}
		]
	},
	[ScenarioName.KillEndpoint]: {
		...usual,
		name: ScenarioName.KillEndpoint,
		description: "one endpoint process of each pool is killed and comes back",
		faults: [
			{atShare: 0.4, action: FaultAction.KillEndpoints},
			{atShare: 0.6, action: FaultAction.RestartEndpoints}
		]
	},
	[ScenarioName.RollingRestart]: {
		...usual,
		name: ScenarioName.RollingRestart,
		description: "every process is stopped gracefully and restarted in turn",
		faults: [{atShare: 0.1, action: FaultAction.RollingRestart}]
	}
}

/** Names of a deployment's routes and paths. */
interface RouteNames {
	interactive: string
	deferrable: string
	submission: string
	submissionPath: string
	status: string
	statusPath: string
}

const routeNames: Record<DeploymentName, RouteNames> = {
	[DeploymentName.Society]: {
		interactive: "drafts",
		deferrable: "summaries",
		submission: "bookings",
		submissionPath: "/bookings",
		status: "order-status",
		statusPath: "/orders/:id"
	},
	[DeploymentName.Serindit]: {
		interactive: "drafts",
		deferrable: "narratives",
		submission: "filings",
		submissionPath: "/filings",
		status: "filing-status",
		statusPath: "/filings/:id"
	}
}

/** Windows that fit a run of a minute. */
export const windowsMs = {
	interactive: 20_000,
	deferrable: 40_000,
	submission: 10_000,
	status: 2000
}

export function listCallKinds(name: DeploymentName, mix: Mix): CallKind[] {
	const routes = routeNames[name]
	return [
		{
			type: CallType.Draft,
			route: routes.interactive,
			share: mix.interactive,
			windowMs: windowsMs.interactive,
			path: ""
		},
		{
			type: CallType.Draft,
			route: routes.deferrable,
			share: mix.deferrable,
			windowMs: windowsMs.deferrable,
			path: ""
		},
		{
			type: CallType.Submission,
			route: routes.submission,
			share: mix.submission,
			windowMs: windowsMs.submission,
			path: routes.submissionPath
		},
		{
			type: CallType.Status,
			route: routes.status,
			share: mix.status,
			windowMs: windowsMs.status,
			path: routes.statusPath
		}
	]
}

/** Share of the calls that are drafts. */
export function shareOfDrafts(mix: Mix): number {
	const {interactive, deferrable, submission, status} = mix
	const drafts = interactive + deferrable
	return drafts / (drafts + submission + status)
}
