import {describe, expect, it} from "vitest"
import type {SoakDeployment} from "../deployment.js"
import {type Fault, FaultSet, pickFault} from "../faults.js"

/** A process whose exits the test decides. */
class ScriptedProcess {
	readonly name = "gateway-1"
	isRunning = true
	exited = new Promise<void>(() => undefined)
	private markExit: () => void = () => undefined

	start(): void {
		this.isRunning = true
		this.exited = new Promise(resolve => {
			this.markExit = resolve
		})
	}

	terminate(): Promise<void> {
		return this.exited
	}

	exit(): void {
		this.isRunning = false
		this.markExit()
	}
}

function pickNamed(deployment: SoakDeployment, name: string): Fault {
	for (let n = 0; n < 10_000; n++) {
		const fault = pickFault(deployment, Math.random, FaultSet.First)
		if (fault.name === name) return fault
	}
	throw new Error(`${name} was never picked`)
}

describe("the fault that stops a process", () => {
	it("ends although another fault has started the process again", async () => {
		const process = new ScriptedProcess()
		process.start()
		const link = {address: "127.0.0.1:1"}
		const worker = {name: "engine1"}
		const deployment = {
			gateways: [{process, storeLink: link}],
			sites: [{agent: process, worker, link, agentLink: link}],
			noteDisturbance: () => undefined
		} as unknown as SoakDeployment
		const fault = pickNamed(deployment, "stop gateway-1")
		void fault.start()
		process.exit()
		process.start()
		await fault.end()
		expect(process.isRunning).toBe(true)
	})
})
