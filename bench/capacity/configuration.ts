/**
 * Measures the memory that a ConfigStore takes in a process, and the bytes and
 * time of one configuration change.
 */
import {
	type Adapter,
	type Configuration,
	decodePart,
	decodeRoot,
	encodeStored,
	splitIntoParts
} from "../../src/contract/config/index.js"
import {
	answerConfigRequest,
	ConfigStore,
	type PartMap
} from "../../src/spread/index.js"
import {create, toBinary} from "@bufbuild/protobuf"
import {
	ConfigRequestSchema,
	ConfigResponseSchema
} from "../../src/contract/gen/link_pb.js"
import {fitLine, type Point} from "./fit.js"
import {type Cell, formatNumber, printTable} from "./print.js"
import {readMemoryBytes, measureMeanUs} from "./probe.js"
import {createSettings} from "./settings.js"

const adapterCounts = [1000, 10_000, 50_000, 190_000]
const baseModelCount = 5
const timedInstalls = 50

export function measureConfiguration(): void {
	const points: Point[] = []
	const rows: Cell[][] = []
	for (const adapters of adapterCounts) {
		const before = readMemoryBytes()
		const store = fillStore(adapters)
		const bytes = readMemoryBytes() - before
		points.push({x: adapters, y: bytes})
		const parts = store.requireRoot().buckets.length
		rows.push([String(adapters), String(parts), bytes / 1e6, bytes / adapters])
		console.log(describeChangeCost(store, adapters))
	}
	printTable(
		"memory of a ConfigStore",
		["adapters", "parts", "MB", "bytes per adapter"],
		rows
	)
	const {slope, intercept, maxResidual} = fitLine(points.slice(1))
	console.log(
		`fit from 10,000 adapters on: ${slope.toFixed(0)} bytes per adapter, ` +
			`${(intercept / 1e6).toFixed(2)} MB constant, ` +
			`largest residual ${(100 * maxResidual).toFixed(1)}%`
	)
}

/**
 * Decodes every part from JSON, as after a fetch from a peer, so that the parsed
 * objects share no memory with the source configuration.
 */
function fillStore(adapters: number): ConfigStore {
	const store = new ConfigStore()
	const {root, parts} = splitIntoParts(createConfiguration(adapters))
	const received: PartMap = new Map()
	for (const [hash, part] of parts) {
		received.set(hash, decodePart(hash, encodeStored(part)))
	}
	const text = encodeStored({...root, generation: 1, applies: []})
	store.install(decodeRoot(text), received)
	return store
}

function describeChangeCost(store: ConfigStore, adapters: number): string {
	const root = store.requireRoot()
	const [hash = ""] = root.buckets
	const rootBytes = getResponseBytes(store, [])
	const partBytes = getResponseBytes(store, [hash])
	const part = store.part(hash) ?? {adapters: []}
	const partText = encodeStored(part)
	let generation = 1
	const installUs = measureMeanUs(() => {
		generation += 1
		const next = decodeRoot(encodeStored({...root, generation}))
		const content = decodePart(hash, partText)
		store.install(next, new Map([[hash, content]]))
	}, timedInstalls)
	return (
		`${adapters} adapters, one change: root ${rootBytes} bytes, ` +
		`part ${partBytes} bytes, ${formatNumber(installUs)} us to decode and install`
	)
}

function getResponseBytes(store: ConfigStore, parts: string[]): number {
	const req = create(ConfigRequestSchema, {parts, knownGeneration: 0})
	const res = answerConfigRequest(store, req)
	return toBinary(ConfigResponseSchema, res).length
}

export function createConfiguration(count: number): Configuration {
	const adapters = Array.from({length: count}, (_, index): Adapter => {
		const base = `loom-${1 + (index % baseModelCount)}`
		const name = `m-${String(index).padStart(6, "0")}`
		const versions = ["v1", "v2"].map(version => ({
			version,
			source: `adapters/${base}/${name}/${version}`
		}))
		return {base, name, versions}
	})
	return {settings: createSettings(baseModelCount), adapters}
}
