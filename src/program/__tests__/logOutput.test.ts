import {closeSync, openSync} from "node:fs"
import {Writable} from "node:stream"
import {describe, expect, it} from "vitest"
import {FileOutput, StreamOutput} from "../logOutput.js"

const line = "x".repeat(99)

/** A reader that begins to read when the test says so. */
class Reader extends Writable {
	text = ""
	private isReading = false
	private waiting: (() => void) | undefined

	readOn(): void {
		this.isReading = true
		this.waiting?.()
	}

	override _write(chunk: Buffer, _encoding: string, done: () => void): void {
		const finish = (): void => {
			this.text += chunk.toString()
			done()
		}
		if (this.isReading) finish()
		else this.waiting = finish
	}
}

async function settle(): Promise<void> {
	await new Promise(setImmediate)
}

function describeDropped(lines: number): string {
	return `${lines} dropped`
}

describe("a log output", () => {
	it("doesn't fill the memory while nobody reads it, and says what was lost", async () => {
		const reader = new Reader()
		const output = new StreamOutput(reader, {maxWaitingBytes: 1000})
		for (let i = 0; i < 50; i += 1) output.write(line, describeDropped)
		expect(output.waitingBytes).toBe(1000)
		reader.readOn()
		await settle()
		output.write("next", describeDropped)
		output.write("after", describeDropped)
		await settle()
		const texts = reader.text.split("\n")
		expect(texts.length).toBe(10 + 4)
		expect(texts.slice(10)).toEqual(["40 dropped", "next", "after", ""])
	})

	it("doesn't throw at whoever logs while the disk is full", () => {
		const fd = openSync("/dev/full", "w")
		const output = new FileOutput(fd)
		output.write("one", describeDropped)
		expect(() => {
			output.write("two", describeDropped)
		}).not.toThrow()
		closeSync(fd)
	})
})
