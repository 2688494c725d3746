/** YAML files with the line of every field. */
import {
	type Document,
	isAlias,
	isMap,
	isNode,
	isScalar,
	isSeq,
	LineCounter,
	type Node,
	type Pair,
	parseDocument
} from "yaml"
import {messageOf} from "../../utils/common.js"
import type {ConfigFault} from "./faults.js"

/** A file as the operator named it. */
export interface ConfigFile {
	path: string
	text: string
}

/** Keys and indexes from the top of a file to a field. */
export type FieldPath = readonly (string | number)[]

/** A parsed file. */
export interface Source {
	file: string
	/** Plain data; undefined for an empty or broken file. */
	data: unknown
	/** Parses the places of fields, on the first fault for JSON. */
	places: () => Places
}

/** Where each field stands. */
interface Places {
	document: Document
	lines: LineCounter
}

/** Parses one file; syntax faults are added to `faults`. */
export function readSource(file: ConfigFile, faults: ConfigFault[]): Source {
	return readJson(file) ?? readYaml(file, faults)
}

/**
 * Reads JSON, which is YAML as well, without parsing the place of each field.
 * Undefined when the file is not named as JSON or is malformed.
 */
function readJson({path, text}: ConfigFile): Source | undefined {
	if (!path.endsWith(".json")) return undefined
	let places: Places | undefined
	try {
		const data: unknown = JSON.parse(text)
		return {file: path, data, places: () => (places ??= parsePlaces(text))}
	} catch {
		// Parsed as YAML, the fault gets a line.
		return undefined
	}
}

function readYaml({path, text}: ConfigFile, faults: ConfigFault[]): Source {
	const places = parsePlaces(text)
	const {document, lines} = places
	const source: Source = {file: path, data: undefined, places: () => places}
	for (const err of document.errors) {
		const line = lines.linePos(err.pos[0]).line
		const reason = err.message.split("\n", 1)[0] ?? ""
		faults.push({file: path, line, path: "", reason: trimReason(reason)})
	}
	if (document.errors.length > 0) return source
	try {
		source.data = document.toJS() ?? undefined
	} catch (err) {
		faults.push(faultAt(source, [], messageOf(err)))
	}
	return source
}

function parsePlaces(text: string): Places {
	const lines = new LineCounter()
	return {document: parseDocument(text, {lineCounter: lines}), lines}
}

/** A fault at a field; the line is that of its nearest existing parent. */
export function faultAt(
	source: Source,
	path: FieldPath,
	reason: string
): ConfigFault {
	const line = lineOf(source, path)
	return {file: source.file, line, path: formatPath(path), reason}
}

/** Such as `pools[1].slots`. */
export function formatPath(path: FieldPath): string {
	let text = ""
	for (const key of path) {
		if (typeof key === "number") text += `[${key}]`
		else text += text === "" ? key : `.${key}`
	}
	return text
}

function lineOf(source: Source, path: FieldPath): number {
	const {document, lines} = source.places()
	let node: Node | null | undefined = document.contents
	let offset = node?.range?.[0] ?? 0
	for (const key of path) {
		if (isAlias(node)) node = node.resolve(document)
		if (isMap(node)) {
			const pair: Pair | undefined = node.items.find(({key: at}) =>
				isKey(at, key)
			)
			if (pair === undefined) break
			offset = offsetOf(pair.key) ?? offset
			node = isNode(pair.value) ? pair.value : undefined
		} else if (isSeq(node)) {
			const item: unknown = node.items[Number(key)]
			offset = offsetOf(item) ?? offset
			node = isNode(item) ? item : undefined
		} else break
	}
	return lines.linePos(offset).line
}

function isKey(node: unknown, key: string | number): boolean {
	return isScalar(node) && String(node.value) === String(key)
}

function offsetOf(node: unknown): number | undefined {
	return isNode(node) ? node.range?.[0] : undefined
}

function trimReason(message: string): string {
	return message.replace(/ at line \d+, column \d+:?$/, "")
}
