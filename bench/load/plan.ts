/** Plans an open-loop load: which request arrives when, for whom. */
import type {ModelVersion} from "../deployment/index.js"
import {Random, Zipf} from "./random.js"

export enum CallType {
	/** A streamed generation by an adapter. */
	Draft = "draft",
	/** A keyed call that must run at most once. */
	Submission = "submission",
	Status = "status"
}

/** One kind of request in the mix. */
export interface CallKind {
	type: CallType
	route: string
	/** Relative weight in the mix. */
	share: number
	/** Agreed window; also the deadline that callers send. */
	windowMs: number
	/** Path below `/v1/services/`, for calls to the plain service. */
	path: string
}

/** A change of the arrival rate or of popularity during the run. */
export interface LoadStep {
	/** Share of the run at which it takes effect. */
	atShare: number
	/** Factor on the arrival rate. */
	rateFactor?: number
	/** Moves the popular ranks to other adapters. */
	shiftBy?: number
}

export interface LoadOptions {
	seed: number
	seconds: number
	ratePerSecond: number
	kinds: CallKind[]
	models: ModelVersion[]
	members: number
	zipfExponent: number
	/** Share of the drafts that name the one most popular adapter. */
	hotShare?: number
	steps?: LoadStep[]
	minTokens?: number
	maxTokens?: number
}

export interface PlannedCall {
	/** Milliseconds after the start of the run. */
	atMs: number
	id: string
	kind: CallKind
	member: string
	model: ModelVersion
	prompt: string
	maxTokens: number
}

const msPerSecond = 1000

/** The same calls, in order of arrival, for the same options. */
export function planCalls(options: LoadOptions): PlannedCall[] {
	const {seed, seconds, hotShare = 0} = options
	const {minTokens = 24, maxTokens = 96} = options
	const random = new Random(seed)
	const zipf = new Zipf(options.models.length, options.zipfExponent)
	const calls: PlannedCall[] = []
	let at = 0
	for (;;) {
		const step = mergeSteps(options.steps ?? [], at / seconds)
		at += random.exponential(options.ratePerSecond * step.rateFactor)
		if (at >= seconds) return calls
		const isHot = random.uniform() < hotShare
		const rank = isHot ? 0 : zipf.draw(random)
		const index = (rank + step.shiftBy) % options.models.length
		const id = `${seed}-${calls.length}`
		calls.push({
			atMs: at * msPerSecond,
			id,
			kind: chooseKind(options.kinds, random),
			member: `member-${index % options.members}`,
			model: options.models[index] ?? {model: "", source: ""},
			prompt: writePrompt(index, id),
			maxTokens: minTokens + random.integer(maxTokens - minTokens + 1)
		})
	}
}

/** The steps in force at a share of the run, combined. */
function mergeSteps(steps: LoadStep[], share: number): Required<LoadStep> {
	const merged = {atShare: 0, rateFactor: 1, shiftBy: 0}
	for (const step of steps) {
		if (step.atShare > share) continue
		merged.rateFactor = step.rateFactor ?? merged.rateFactor
		merged.shiftBy = step.shiftBy ?? merged.shiftBy
	}
	return merged
}

function chooseKind(kinds: CallKind[], random: Random): CallKind {
	const total = kinds.reduce((sum, kind) => sum + kind.share, 0)
	let left = random.uniform() * total
	for (const kind of kinds) {
		left -= kind.share
		if (left < 0) return kind
	}
	throw new Error("the mix of calls is empty")
}

/** Prompts for one adapter share their beginning, as templates do. */
function writePrompt(index: number, id: string): string {
	const template = `Coating summary for client ${index}. `.repeat(4)
	return `${template}Order ${id}.`
}
