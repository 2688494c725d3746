import {describe, expect, it} from "vitest"
import {
	type EndpointPool,
	type EngineSpec,
	type FleetConfig,
	type ForwardRoute,
	type Member,
	QuotaUnit,
	RouteKind
} from "../../fleet.js"
import {Change, checkFleet, checkVersion, listDifferences} from "../index.js"

const route: ForwardRoute = {
	name: "draft",
	host: "a.example",
	pathPrefix: "/draft/",
	kind: RouteKind.Generation,
	pools: [{pool: "writers", weight: 1}],
	timeoutMs: 4000,
	objectiveMs: 800,
	eventGapMs: 300,
	priority: 1,
	maxAttempts: 2,
	isResumable: true,
	isPublic: false
}
const book: ForwardRoute = {
	...route,
	name: "book",
	pathPrefix: "/book/",
	kind: RouteKind.Unsafe,
	pools: [{pool: "desk", weight: 1}],
	maxAttempts: 1,
	isResumable: false
}
const engine: EngineSpec = {
	seats: 16,
	adapterSlots: 5,
	memoryTokens: 100_000,
	weightsMb: 66_000,
	models: [{name: "base", weightsMb: 65_000, adapterMb: 12, loadMs: 1000}]
}
const writers: EndpointPool = {name: "writers", maxConnections: 100, engine}
const desk: EndpointPool = {
	name: "desk",
	maxConnections: 100,
	engine: undefined
}
const member: Member = {
	name: "press",
	keys: ["k-1"],
	priority: 0,
	quota: {
		unit: QuotaUnit.Tokens,
		perSecond: 4000,
		burst: 5000,
		plainTokens: 100
	}
}
const config: FleetConfig = {
	version: 7,
	routes: [route, book],
	pools: [writers, desk],
	limits: {
		maxHeaderBytes: 16_384,
		maxBodyBytes: 4_000_000,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 5000
	},
	members: [member]
}

function list(changed: Partial<FleetConfig>): string[] {
	return checkFleet({...config, ...changed}).map(
		({entry, text}) => `${entry}: ${text}`
	)
}

function withRoute(changed: Partial<ForwardRoute>): Partial<FleetConfig> {
	return {routes: [{...route, ...changed}, book]}
}

function withBook(changed: Partial<ForwardRoute>): Partial<FleetConfig> {
	return {routes: [route, {...book, ...changed}]}
}

function withEngine(changed: Partial<EngineSpec>): Partial<FleetConfig> {
	return {pools: [{...writers, engine: {...engine, ...changed}}, desk]}
}

function withMember(changed: Partial<Member>): Partial<FleetConfig> {
	return {members: [{...member, ...changed}]}
}

const quota = {unit: QuotaUnit.Requests, perSecond: 5, burst: 0, plainTokens: 1}

const cases: [Partial<FleetConfig>, string][] = [
	// Entries that never match, and names that match nothing.
	[
		{routes: [route, book, {...book, name: "again"}]},
		"route again: never matches: route book has the same host and path prefix"
	],
	[
		withBook({pathPrefix: "book/"}),
		"route book: never matches: the path prefix book/ does not begin with a slash"
	],
	[
		withBook({pathPrefix: "/book"}),
		"route book: the path prefix /book does not end with a slash and matches longer names too"
	],
	[withBook({name: "draft"}), "route draft: the name is used more than once"],
	[
		{pools: [writers, desk, desk]},
		"service desk: the name is used more than once"
	],
	[
		{members: [member, {...member, keys: ["k-2"]}]},
		"Member press: the name is used more than once"
	],
	[
		{pools: [writers, desk, {...desk, name: "idle"}]},
		"service idle: no route names it"
	],
	[
		{pools: [writers]},
		"route book: names the service desk, which is not defined"
	],
	[
		{
			routes: [
				route,
				book,
				{...book, name: "none", pathPrefix: "/x/", pools: []}
			]
		},
		"route none: names no service: each request is refused"
	],
	[
		withBook({pools: [{pool: "desk", weight: 0}]}),
		"route book: all weights are 0: service desk gets each request"
	],
	[
		{
			...withBook({
				pools: [
					{pool: "desk", weight: 1},
					{pool: "new", weight: 0}
				]
			}),
			pools: [writers, desk, {...desk, name: "new"}]
		},
		"route book: service new has a weight of 0 and gets no request"
	],
	[
		{pools: [{...writers, engine: undefined}, desk]},
		"route draft: streams from service writers, which has no engine"
	],
	[
		{pools: [writers, {...desk, engine}]},
		"route book: does not stream, but service desk has an engine"
	],
	[withMember({keys: []}), "Member press: has no keys"],
	[withMember({keys: [""]}), "Member press: has an empty key"],
	[
		{members: []},
		"configuration: lists Members, but there is none: only public routes can be used"
	],
	// Limits that contradict each other.
	[
		withRoute({timeoutMs: 700}),
		"route draft: the timeout of 700 ms is below the objective of 800 ms"
	],
	[
		withRoute({eventGapMs: 5000}),
		"route draft: the event gap of 5000 ms is above the timeout of 4000 ms"
	],
	[
		withBook({maxAttempts: 2}),
		"route book: has 2 attempts, but its requests must not run twice"
	],
	[
		withBook({isResumable: true}),
		"route book: is resumable, but does not stream"
	],
	[
		withRoute({priority: 10}),
		"route draft: the priority 10 is not between 0 and 9"
	],
	[
		withMember({priority: -1}),
		"Member press: the priority -1 is not between 0 and 9"
	],
	[
		withEngine({adapterSlots: 100}),
		"service writers: model base with 100 adapter slots needs 66200 MB of 66000 MB"
	],
	[
		withEngine({weightsMb: 60_000}),
		"service writers: model base needs 65000 MB of 60000 MB"
	],
	[withEngine({seats: 0}), "service writers: its engines run no request"],
	[
		withEngine({memoryTokens: 0}),
		"service writers: its engines hold no tokens"
	],
	[
		{members: [member, {...member, name: "club"}]},
		"Member club: has a key that Member press has as well"
	],
	[
		withMember({quota}),
		"Member press: the burst of 0 does not hold one request, which counts 1; the rate is 5 a second"
	],
	[
		withMember({
			quota: {...quota, unit: QuotaUnit.Tokens, burst: 99, plainTokens: 100}
		}),
		"Member press: the burst of 99 does not hold one request, which counts 100; the rate is 5 a second"
	]
]

describe("checkFleet", () => {
	it("finds nothing in a sound configuration, with or without Members", () => {
		expect(list({})).toEqual([])
		expect(list({members: undefined})).toEqual([])
		expect(list(withMember({quota: undefined, priority: undefined}))).toEqual(
			[]
		)
	})

	it.each(cases)("finds only what is wrong (case %#): %s", (changed, text) => {
		expect(list(changed)).toEqual([text])
	})

	it("finds a version that gateways would ignore", () => {
		expect(checkVersion(config, {...config, version: 8})).toEqual([])
		for (const version of [7, 3])
			expect(checkVersion(config, {...config, version})).toHaveLength(1)
	})
})

describe("listDifferences", () => {
	it("lists nothing between equal configurations", () => {
		const copy = JSON.parse(JSON.stringify(config)) as FleetConfig
		expect(listDifferences(config, copy)).toEqual([])
	})

	it("lists what was added, removed and changed, with values", () => {
		const next: FleetConfig = {
			...config,
			version: 8,
			routes: [
				{...route, timeoutMs: 5000},
				{...book, name: "reserve"}
			],
			limits: {...config.limits, idleTimeoutMs: 9000}
		}
		const change = Change.Changed
		expect(listDifferences(config, next)).toEqual([
			{
				entry: "configuration",
				change,
				fields: [{field: "version", before: 7, after: 8}]
			},
			{entry: "route book", change: Change.Removed, fields: []},
			{
				entry: "route draft",
				change,
				fields: [{field: "timeoutMs", before: 4000, after: 5000}]
			},
			{entry: "route reserve", change: Change.Added, fields: []},
			{
				entry: "limits",
				change,
				fields: [{field: "idleTimeoutMs", before: 5000, after: 9000}]
			}
		])
	})

	it("counts keys that come and go, and prints none", () => {
		const next = {...config, members: [{...member, keys: ["k-2"]}]}
		const differences = listDifferences(config, next)
		expect(differences).toEqual([
			{
				entry: "Member press",
				change: Change.Changed,
				fields: [{field: "keys", before: "1, 1 withdrawn", after: "1, 1 new"}]
			}
		])
		expect(JSON.stringify(differences)).not.toContain("k-")
	})
})
