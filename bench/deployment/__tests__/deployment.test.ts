import {existsSync, readFileSync} from "node:fs"
import {join} from "node:path"
import {afterAll, afterEach, beforeAll, describe, expect, it} from "vitest"
import {HostState} from "../../../src/host/host.js"
import type {HostRecord} from "../../../src/link/platform.js"
import {sleep} from "../../../src/utils/common.js"
import {ChildProcess} from "../childProcess.js"
import {callJson, isOk} from "../control.js"
import {Deployment} from "../deployment.js"
import {findAddress} from "../ports.js"
import {deploymentSpecs, layOutPool} from "../topology.js"
import {createFakeDist, type FakeDist} from "./fakeProgram.js"

let dist: FakeDist
const started: ChildProcess[] = []

beforeAll(() => {
	dist = createFakeDist()
})

afterEach(async () => {
	await Promise.all(started.map(child => child.kill()))
})

afterAll(() => {
	dist.remove()
})

async function startFake(): Promise<{child: ChildProcess; url: string}> {
	const address = await findAddress()
	const child = new ChildProcess({
		name: "fake",
		program: join(dist.dir, "src/bin/entry.js"),
		args: ["--listen", address],
		env: {TEST_VALUE: "a value"}
	})
	started.push(child)
	child.start()
	const url = `http://${address}/`
	while (!(await isOk(url))) await sleep(10)
	return {child, url}
}

function readState(child: ChildProcess): string {
	const stat = readFileSync(`/proc/${child.pid}/stat`, "utf8")
	return stat.slice(stat.lastIndexOf(")") + 2)[0] ?? ""
}

describe("ChildProcess", () => {
	it("keeps stderr and the way the process ended", async () => {
		const {child} = await startFake()
		expect(child.stderr).toBe("started with a value")
		expect(await child.terminate()).toEqual({code: 3, signal: null})
		expect(child.isRunning).toBe(false)
		expect(await child.kill()).toEqual({code: 3, signal: null})
	})

	it("records each end that nobody asked for", async () => {
		const {child} = await startFake()
		process.kill(child.pid, "SIGKILL")
		await child.exited
		child.start()
		await child.kill()
		expect(child.unaskedEnds).toEqual([
			{code: null, signal: "SIGKILL", output: ""}
		])
	})

	it("ends with the process that started it, also when SIGTERM ends that", async () => {
		const source = `
			const {ChildProcess} = await import("./dist/bench/deployment/childProcess.js")
			const args = ["setInterval(() => 0, 1000)"]
			const child = new ChildProcess({name: "child", program: "-e", args})
			child.start()
			console.error(child.pid)`
		const args = ["--eval", source]
		const parent = new ChildProcess({
			name: "parent",
			program: "--input-type=module",
			args
		})
		started.push(parent)
		parent.start()
		while (!parent.stderr.endsWith("\n")) await sleep(10)
		const pid = Number(parent.stderr)
		expect(await parent.terminate()).toEqual({code: null, signal: "SIGTERM"})
		while (existsSync(`/proc/${pid}`)) await sleep(10)
	})

	it("freezes and thaws", async () => {
		const {child, url} = await startFake()
		child.freeze()
		while (readState(child) !== "T") await sleep(5)
		child.thaw()
		expect(await isOk(url)).toBe(true)
	})

	it("restarts at the same address with another pid", async () => {
		const {child, url} = await startFake()
		const before = child.pid
		await child.restart()
		while (!(await isOk(url))) await sleep(10)
		expect(child.pid).not.toBe(before)
		expect(child.readCpuMs()).toBeGreaterThanOrEqual(0)
		expect(() => {
			child.start()
		}).toThrow("fake is running already")
	})
})

describe("Deployment", () => {
	it("lays out the workers of a pool over the failure domains", () => {
		const {failureDomains} = deploymentSpecs.society
		const layouts = layOutPool("loom-writers", 13, failureDomains)
		expect(layouts.map(one => one.workers)).toEqual([4, 3, 3, 3])
		expect(layOutPool("orders-desk", 2, failureDomains)).toHaveLength(2)
	})

	it("starts every process, registers the hosts and ends all", async () => {
		const deployment = new Deployment({
			spec: deploymentSpecs.serindit,
			distDir: dist.dir
		})
		try {
			await deployment.startStandins()
			deployment.startPrograms()
			await deployment.waitReady()
			expect(deployment.engineUrls).toHaveLength(6)
			expect(deployment.serviceUrls).toHaveLength(4)

			const endpoint = deployment.endpoints[0]
			const args = await callJson<string[]>(`http://${endpoint?.health ?? ""}`)
			expect(args[args.indexOf("--entries") + 1]).toBe(deployment.entryLinks)

			await deployment.setHostState("entry-2", HostState.Leaving)
			const last = `${deployment.platformUrl}/last`
			const {hosts} = await callJson<{hosts: HostRecord[]}>(last)
			expect(hosts).toHaveLength(11)
			const leaving = hosts.filter(host => host.state === HostState.Leaving)
			expect(leaving.map(host => host.id)).toEqual(["entry-2"])
		} finally {
			await deployment.stop()
		}
		for (const name of deployment.programNames) {
			expect(deployment.child(name).isRunning).toBe(false)
		}
		expect(() => deployment.child("entry-9")).toThrow(
			"process entry-9 does not exist"
		)
	})

	it("reports a process that ends before it is ready", async () => {
		const deployment = new Deployment({
			spec: deploymentSpecs.serindit,
			distDir: join(dist.dir, "missing")
		})
		await expect(deployment.startStandins()).rejects.toThrow(
			/platform ended before it was ready/
		)
		await deployment.stop()
	})
})
