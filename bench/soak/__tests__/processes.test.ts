import {describe, expect, it} from "vitest"
import type {ChildProcess} from "../../deployment/childProcess.js"
import type {SoakDeployment} from "../deployment.js"
import {judgeProcesses} from "../soak.js"

function createDeployment(gateway: Partial<ChildProcess>): SoakDeployment {
	const agent = {name: "agent-engine1", unaskedEnds: [], stderr: ""}
	const process = {name: "gateway-1", unaskedEnds: [], stderr: "", ...gateway}
	const sites = [{agent}, {agent: undefined}]
	return {gateways: [{process}], sites} as unknown as SoakDeployment
}

describe("the processes of a soak", () => {
	it("may not end by themselves, so that no others answer at their addresses", () => {
		const deployment = createDeployment({
			unaskedEnds: [{code: 1, signal: null, output: ""}],
			stderr: "warning\nlisten EADDRINUSE 127.1.4.1:9202\n"
		})
		expect(judgeProcesses(deployment)).toEqual([
			"gateway-1 ended by itself: exit code 1 listen EADDRINUSE 127.1.4.1:9202"
		])
	})

	it("may end by what the soak does to them, also by a reload before they heed it", () => {
		expect(judgeProcesses(createDeployment({}))).toEqual([])
		const unaskedEnds = [{code: null, signal: "SIGHUP" as const, output: ""}]
		expect(judgeProcesses(createDeployment({unaskedEnds}))).toEqual([])
	})

	it("may not end by a reload once they have started", () => {
		const output = '{"host":"gateway-1","message":"started"}\n'
		const unaskedEnds = [{code: null, signal: "SIGHUP" as const, output}]
		expect(judgeProcesses(createDeployment({unaskedEnds}))).toHaveLength(1)
	})

	it("may not have a fault that an earlier build would have ended at", () => {
		const stderr = "warning\nprocess.fault in timer: Error: no\n    at f"
		expect(judgeProcesses(createDeployment({stderr}))).toEqual([
			"gateway-1 had a fault: process.fault in timer: Error: no"
		])
	})
})
