import {expect, test} from "vitest"
import {parseConfiguration} from "../parse.js"
import {hashPart, splitIntoParts} from "../parts.js"
import {
	decodePart,
	decodeRoot,
	encodeStored,
	fingerprintRoot,
	parsePart,
	parseRoot,
	StoredConfigError
} from "../stored.js"
import {adaptersFile, settingsFile} from "./files.js"

const configuration = parseConfiguration([settingsFile, adaptersFile(3)])
const {root: content, parts} = splitIntoParts(configuration)
const root = {...content, generation: 1, applies: []}

test("roots and parts survive a message", () => {
	const decoded = decodeRoot(encodeStored(root))
	expect(decoded).toEqual(root)
	expect(fingerprintRoot(decoded)).toBe(fingerprintRoot(root))
	for (const [hash, part] of parts) {
		expect(decodePart(hash, encodeStored(part))).toEqual(part)
	}
})

test("another generation or content has another fingerprint", () => {
	const prints = [
		fingerprintRoot(root),
		fingerprintRoot({...root, generation: 2}),
		fingerprintRoot({...root, buckets: ["x"]})
	]
	expect(new Set(prints).size).toBe(3)
})

test("the time at which a part was stored does not change its hash", () => {
	const [[hash = "", part] = []] = parts
	const stored = {adapters: part?.adapters ?? [], writtenAt: 7}
	expect(hashPart(stored)).toBe(hash)
	expect(parsePart(hash, stored)).toEqual(part)
})

test("a part of another content than its hash is refused", () => {
	const [hash = ""] = parts.keys()
	expect(() => parsePart(hash, {adapters: []}, "e1")).toThrow(StoredConfigError)
})

test.each([null, {}, {...root, generation: 0}, {...root, settings: {}}])(
	"a malformed root is refused: %j",
	value => {
		expect(() => parseRoot(value)).toThrow("malformed")
	}
)

test("bytes that are no JSON are refused", () => {
	expect(() => decodeRoot(new Uint8Array([1, 2]))).toThrow("malformed")
})
