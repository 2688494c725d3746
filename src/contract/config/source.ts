/** Parses YAML and JSON files, keeping the line number of every field. */
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

/** A file, with its path as the operator gave it. */
export interface ConfigFile {
	path: string
	text: string
}

/** Keys and list indexes that lead from the root of a file to a field. */
export type FieldPath = readonly (string | number)[]

/** A parsed file. */
export interface Source {
	file: string
	/** The file's content; undefined when it is empty or has a syntax error. */
	data: unknown
	/** Parsed on first use for JSON, as only faults need the line numbers. */
	getPositions: () => SourcePositions
}

/** Syntax tree from which the line of a field is looked up. */
interface SourcePositions {
	document: Document
	lines: LineCounter
}

/** Parses one file and adds its syntax errors to `faults`. */
export function readSource(file: ConfigFile, faults: ConfigFault[]): Source {
	return readJson(file) ?? readYaml(file, faults)
}

/**
 * Reads a `.json` file without building a YAML syntax tree. Returns undefined
 * when the file has another extension or is not valid JSON.
 */
function readJson({path, text}: ConfigFile): Source | undefined {
	if (!path.endsWith(".json")) return undefined
	let positions: SourcePositions | undefined
	try {
		const data: unknown = JSON.parse(text)
		return {
			file: path,
			data,
			getPositions: () => (positions ??= parsePositions(text))
		}
	} catch {
		// The YAML parser, which accepts JSON, reports the line of the error.
		return undefined
	}
}

function readYaml({path, text}: ConfigFile, faults: ConfigFault[]): Source {
	const positions = parsePositions(text)
	const {document, lines} = positions
	const source: Source = {
		file: path,
		data: undefined,
		getPositions: () => positions
	}
	for (const err of document.errors) {
		const line = lines.linePos(err.pos[0]).line
		const reason = err.message.split("\n", 1)[0] ?? ""
		faults.push({file: path, line, path: "", reason: removePosition(reason)})
	}
	if (document.errors.length > 0) return source
	try {
		source.data = document.toJS() ?? undefined
	} catch (err) {
		faults.push(createFault(source, [], messageOf(err)))
	}
	return source
}

function parsePositions(text: string): SourcePositions {
	const lines = new LineCounter()
	return {document: parseDocument(text, {lineCounter: lines}), lines}
}

/** Creates a fault; for an absent field, the line is that of its nearest parent. */
export function createFault(
	source: Source,
	path: FieldPath,
	reason: string
): ConfigFault {
	const line = findLine(source, path)
	return {file: source.file, line, path: formatPath(path), reason}
}

/** Formats a path as text, such as `pools[1].slots`. */
export function formatPath(path: FieldPath): string {
	let text = ""
	for (const key of path) {
		if (typeof key === "number") text += `[${key}]`
		else text += text === "" ? key : `.${key}`
	}
	return text
}

function findLine(source: Source, path: FieldPath): number {
	const {document, lines} = source.getPositions()
	let node: Node | null | undefined = document.contents
	let offset = node?.range?.[0] ?? 0
	for (const key of path) {
		if (isAlias(node)) node = node.resolve(document)
		if (isMap(node)) {
			const pair: Pair | undefined = node.items.find(({key: keyNode}) =>
				isKey(keyNode, key)
			)
			if (pair === undefined) break
			offset = startOffsetOf(pair.key) ?? offset
			node = isNode(pair.value) ? pair.value : undefined
		} else if (isSeq(node)) {
			const item: unknown = node.items[Number(key)]
			offset = startOffsetOf(item) ?? offset
			node = isNode(item) ? item : undefined
		} else break
	}
	return lines.linePos(offset).line
}

function isKey(node: unknown, key: string | number): boolean {
	return isScalar(node) && String(node.value) === String(key)
}

function startOffsetOf(node: unknown): number | undefined {
	return isNode(node) ? node.range?.[0] : undefined
}

function removePosition(message: string): string {
	return message.replace(/ at line \d+, column \d+:?$/, "")
}
