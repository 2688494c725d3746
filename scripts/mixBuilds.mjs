#!/usr/bin/env node
/**
 * Runs processes of two builds together, on stand-ins, and prints a line for
 * each check: `node scripts/mixBuilds.mjs OLD NEW`, two built checkouts.
 *
 * - entry and endpoint processes of different builds serve a stream, a booking
 *   by key and its repeat;
 * - each build reads the configuration, claims, incarnations and burn counts
 *   that the other has stored;
 * - gateways and agents of different builds serve, and a gateway follows ones
 *   of the other build;
 * - both builds count and log under the same names; texts of messages may
 *   differ and are only printed.
 */
import {execFile, spawn} from "node:child_process"
import {once} from "node:events"
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join, resolve} from "node:path"
import {pathToFileURL} from "node:url"
import {promisify} from "node:util"

const [oldRoot, newRoot] = process.argv.slice(2).map(dir => resolve(dir))
if (oldRoot === undefined || newRoot === undefined) {
	console.error("usage: mixBuilds.mjs OLD NEW")
	process.exit(2)
}
const load = path => import(pathToFileURL(join(newRoot, "dist", path)).href)
const {Deployment} = await load("bench/deployment/index.js")
const {ChildProcess} = await load("bench/deployment/childProcess.js")
const {SoakDeployment} = await load("bench/soak/deployment.js")
const {Callers, CallEnd} = await load("bench/soak/callers.js")
const run = promisify(execFile)
const sleep = ms => new Promise(done => setTimeout(done, ms))

const roots = {old: oldRoot, new: newRoot}
const builds = Object.keys(roots)
const otherOf = build => (build === "old" ? "new" : "old")
const operatorToken = "mix-token"
const dir = mkdtempSync(join(tmpdir(), "goldcrestloom-mix-"))
let failures = 0

/** Names seen in logs and counters, by build and kind. */
const seen = {old: new Map(), new: new Map()}

function note(build, kind, name) {
	const names = seen[build].get(kind) ?? new Set()
	names.add(name)
	seen[build].set(kind, names)
}

function report(isOk, text) {
	if (!isOk) failures += 1
	console.log(`${isOk ? "ok" : "FAILED"}  ${text}`)
}

/** Starts a process of the build that `options.build` names and reads its log. */
ChildProcess.prototype.start = function start() {
	const {program, args = [], env = {}, build} = this.options
	const child = spawn(process.execPath, [program, ...args], {
		env: {...process.env, ...env},
		stdio: ["ignore", "pipe", "pipe"]
	})
	this.child = child
	this.exit = once(child, "exit").then(([code, signal]) => ({code, signal}))
	for (const stream of [child.stdout, child.stderr]) {
		let rest = ""
		stream.setEncoding("utf8")
		stream.on("data", text => {
			const lines = (rest + text).split("\n")
			rest = lines.pop() ?? ""
			if (build !== undefined) for (const line of lines) noteLine(build, line)
		})
	}
}

function noteLine(build, line) {
	const start = line.indexOf("{")
	if (start < 0) return
	try {
		const entry = JSON.parse(line.slice(start))
		const role = entry.role ?? "program"
		for (const key of Object.keys(entry))
			note(build, `log fields of ${role}`, key)
		note(build, `log messages of ${role}`, entry.message)
	} catch {
		// Text of a library, not a log line.
	}
}

const failureDomains = ["north", "south", "east", "west"]
const spec = {
	name: "society",
	failureDomains,
	entries: 2,
	engines: {
		name: "writers",
		workers: 4,
		slots: 3,
		seats: 4,
		msPerToken: 10,
		checksOrders: true
	},
	service: {name: "desk", workers: 3, callMs: 20},
	weightStore: {loadsPerSecond: 20, inFlight: 8, loadMs: 100},
	adapters: 24
}

function writeConfiguration(adapters) {
	const path = join(dir, `mix-${adapters}.yaml`)
	const lines = Array.from(
		{length: adapters},
		(_, i) =>
			`  - {base: loom, name: a-${i}, versions: [{version: v1, source: weights/a-${i}/v1}]}`
	)
	writeFileSync(
		path,
		`deployment: mix
failureDomains: [${failureDomains.map(name => `{name: ${name}, region: r1}`).join(", ")}]
baseModels: [loom]
pools:
  - {name: writers, type: engines, baseModel: loom, slots: 3, seats: 4, msPerToken: 10, checksOrders: true}
  - {name: desk, type: service, seats: 8, callMs: 20}
routes:
  - {name: drafts, pool: writers, class: interactive, maxAttempts: 4, maxDeadlineMs: 120000}
  - {name: bookings, pool: desk, method: POST, path: /bookings, class: booking, idempotent: false, key: required, maxDeadlineMs: 60000}
serviceLevels:
  - {name: drafts-in-window, routes: [drafts], target: 0.99, windowMs: 30000}
  - {name: bookings-in-window, routes: [bookings], target: 0.99, windowMs: 30000}
weightStore: {loadsPerSecond: 20, inFlight: 8, loadMs: 100}
objective: {loadStalls: 0.8, batchEfficiency: 0.2}
retryBudget: {ratio: 0.2, minPerSecond: 5}
adapters:
${lines.join("\n")}
`
	)
	return path
}

function post(url, body, headers = {}) {
	return fetch(url, {
		method: "POST",
		body: JSON.stringify(body),
		headers: {
			"content-type": "application/json",
			"x-member": "club-1",
			"x-timeout-ms": "20000",
			...headers
		}
	})
}

async function readDraft(url, adapter) {
	const model = `loom:a-${adapter}@v1`
	const body = {model, prompt: "a mirror", max_tokens: 20, stream: true}
	const res = await post(`${url}/v1/completions`, body)
	const text = await res.text()
	const events = text.split("\n\n").filter(part => part.startsWith("data: {"))
	const words = events.map(
		part => JSON.parse(part.slice("data: ".length)).choices?.[0]?.text ?? ""
	)
	return {isWhole: text.endsWith("data: [DONE]\n\n"), text: words.join("")}
}

async function book(url, order, key) {
	const headers = {"idempotency-key": key}
	const body = {order, slot: "s-1"}
	const res = await post(`${url}/v1/services/bookings`, body, headers)
	const isReplay = res.headers.get("x-replayed") !== null
	return {status: res.status, body: await res.text(), isReplay}
}

async function countRuns(deployment, order) {
	let runs = 0
	for (const url of deployment.serviceUrls) {
		const truth = await (await fetch(`${url}/control/truth`)).json()
		runs += truth.runsByBody[order] ?? 0
	}
	return runs
}

async function operate(build, deployment, command, ...args) {
	const program = join(roots[build], "dist/src/bin/operator.js")
	const common = ["--platform", deployment.platformUrl]
	common.push("--entries", deployment.entryLinks)
	common.push("--operator-token", operatorToken)
	try {
		const argv = [program, command, ...args, ...common]
		const {stdout} = await run(process.execPath, argv, {timeout: 30_000})
		return {code: 0, stdout}
	} catch (err) {
		return {code: err.code ?? 1, stdout: `${err.stdout}${err.stderr}`}
	}
}

async function readBurn(build, deployment, at) {
	const program = join(roots[build], "dist/src/bin/burn.js")
	const argv = [program, "--platform", deployment.platformUrl, "--at", at]
	const {stdout} = await run(process.execPath, [...argv, "--json", "true"])
	return stdout
}

async function noteCounters(deployment, buildOf) {
	for (const id of deployment.programNames) {
		const {counters} = await (await fetch(deployment.metricsUrl(id))).json()
		const role = id.startsWith("entry") ? "entry" : "endpoint"
		for (const name of Object.keys(counters)) {
			note(buildOf(id), `counters of ${role}`, name)
		}
	}
}

function setBuilds(deployment, buildOf) {
	for (const id of deployment.programNames) {
		const {options} = deployment.child(id)
		const build = buildOf(id)
		const [, program] = options.program.split("/dist/")
		options.program = join(roots[build], "dist", program)
		options.build = build
	}
}

async function waitAdmitting(deployment) {
	await deployment.waitReady()
	const deadline = Date.now() + 20_000
	for (const {id} of deployment.entries) {
		for (;;) {
			const {counters} = await (await fetch(deployment.metricsUrl(id))).json()
			if (counters["hosts.admitting"] === deployment.endpoints.length) break
			if (Date.now() > deadline) throw new Error(`${id} lacks hosts`)
			await sleep(50)
		}
	}
}

async function serveOnce(deployment, label, round, drafts) {
	for (const [index, url] of deployment.entryUrls.entries()) {
		const draft = await readDraft(url, round)
		drafts.add(draft.text)
		const isRight = draft.isWhole && draft.text !== "" && drafts.size === 1
		report(isRight, `${label}: stream through entry ${index + 1} is whole`)
		const [order, key] = [`o-${round}-${index}`, `k-${round}-${index}`]
		const first = await book(url, order, key)
		const repeat = await book(deployment.entryUrls[1 - index], order, key)
		const isSame = first.body === repeat.body && first.body.includes(order)
		const runs = await countRuns(deployment, order)
		report(
			first.status < 300 && isSame && repeat.isReplay && runs === 1,
			`${label}: booking by key through entry ${index + 1} and its repeat through the other, ${runs} run`
		)
	}
}

/** Entries of one build, endpoint processes of another, then exchanged. */
async function checkOwnInterface(entryBuild, endpointBuild) {
	const label = `${entryBuild} entry, ${endpointBuild} endpoint`
	const deployment = new Deployment({spec, operatorToken, logLevel: "debug"})
	const assign = (entry, endpoint) => id =>
		id.startsWith("entry") ? entry : endpoint
	let buildOf = assign(entryBuild, endpointBuild)
	try {
		await deployment.startStandins()
		const files = [writeConfiguration(24), writeConfiguration(25)]
		const first = await operate(entryBuild, deployment, "apply", "-f", files[0])
		report(first.code === 0, `${label}: ${entryBuild} operator applies`)
		startPrograms(deployment, buildOf)
		await waitAdmitting(deployment)
		await serveOnce(deployment, label, 1, new Set())
		await noteCounters(deployment, buildOf)
		await exchangeBuilds(deployment, assign(endpointBuild, entryBuild))
		buildOf = assign(endpointBuild, entryBuild)
		const swapped = `${label}, then exchanged`
		for (const index of [0, 1]) {
			const url = deployment.entryUrls[index]
			const order = `o-1-${index}`
			const again = await book(url, order, `k-1-${index}`)
			const runs = await countRuns(deployment, order)
			report(
				again.isReplay && again.body.includes(order) && runs === 1,
				`${swapped}: stored claim of ${order} answers its repeat, ${runs} run`
			)
		}
		await serveOnce(deployment, swapped, 2, new Set())
		await checkStored(deployment, swapped, endpointBuild, files)
	} finally {
		await deployment.stop()
	}
}

function startPrograms(deployment, buildOf) {
	const start = ChildProcess.prototype.start
	ChildProcess.prototype.start = () => undefined
	deployment.startPrograms()
	ChildProcess.prototype.start = start
	setBuilds(deployment, buildOf)
	for (const id of deployment.programNames) deployment.child(id).start()
}

async function exchangeBuilds(deployment, buildOf) {
	const children = deployment.programNames.map(id => deployment.child(id))
	await Promise.all(children.map(child => child.terminate()))
	setBuilds(deployment, buildOf)
	for (const child of children) child.start()
	await waitAdmitting(deployment)
}

/** What one build stored, read and changed by the other. */
async function checkStored(deployment, label, build, files) {
	const histories = []
	for (const reader of builds) {
		const {code, stdout} = await operate(reader, deployment, "history")
		report(code === 0, `${label}: ${reader} operator reads the history`)
		histories.push(stdout)
	}
	report(histories[0] === histories[1], `${label}: both print one history`)
	const change = await operate(build, deployment, "apply", "-f", files[1])
	report(
		change.code === 0,
		`${label}: ${build} operator changes the stored configuration`
	)
	for (const reader of builds) {
		const {code, stdout} = await operate(
			reader,
			deployment,
			"diff",
			"-f",
			files[1]
		)
		report(
			code === 0,
			`${label}: ${reader} operator compares, ${JSON.stringify(stdout.trim().split("\n")[0])}`
		)
	}
	const draft = await readDraft(deployment.entryUrls[0], 24)
	report(draft.isWhole, `${label}: the added adapter serves`)
	const at = new Date().toISOString()
	const burns = []
	for (const reader of builds)
		burns.push(await readBurn(reader, deployment, at))
	report(
		burns[0] === burns[1] && burns[0].includes("drafts-in-window"),
		`${label}: both print one burn report`
	)
}

/** Gateways and agents of different builds on the users' platform. */
async function checkPlatform(label, block, {gatewayBuild, agentBuild}) {
	const {createProcess} = SoakDeployment.prototype
	SoakDeployment.prototype.createProcess = function (name, program, settings) {
		const child = createProcess.call(this, name, program, settings)
		const build = program === "agent" ? agentBuild : gatewayBuild(name)
		child.options.program = join(roots[build], child.options.program)
		child.options.build = build
		return child
	}
	const sizes = {gateways: 4, engines: 3, desks: 2}
	const deployment = await SoakDeployment.start(sizes, block, Math.random)
	SoakDeployment.prototype.createProcess = createProcess
	try {
		await sleep(4000)
		for (const gateway of deployment.gateways) {
			const callers = new Callers({gateways: [gateway]}, Math.random)
			callers.start(6)
			await sleep(3000)
			await callers.stop()
			const counts = {}
			for (const {kind, end} of callers.records) {
				const key = `${kind} ${end}`
				counts[key] = (counts[key] ?? 0) + 1
			}
			const isServed = ["draft", "book", "status"].every(
				kind => (counts[`${kind} ${CallEnd.Answered}`] ?? 0) > 0
			)
			const {name} = gateway.process
			report(
				isServed && callers.breaches.length === 0,
				`${label}: ${gatewayBuild(name)} ${name} before ${agentBuild} agents, ${JSON.stringify(counts)}`
			)
			for (const breach of callers.breaches) console.log(`    ${breach}`)
			await noteMetrics(gateway, gatewayBuild(name))
		}
		await restartAgents(deployment, label, agentBuild)
		await loseEngines(deployment)
	} finally {
		await deployment.stop()
	}
}

/** Agents of the other build take over the engines and their stored fences. */
async function restartAgents(deployment, label, agentBuild) {
	const next = otherOf(agentBuild)
	for (const {agent} of deployment.sites) {
		if (agent === undefined) continue
		await agent.kill()
		agent.options.program = agent.options.program.replace(
			roots[agentBuild],
			roots[next]
		)
		agent.options.build = next
		agent.start()
	}
	await sleep(3000)
	const callers = new Callers(deployment, Math.random)
	callers.start(6)
	await sleep(3000)
	await callers.stop()
	const drafts = callers.records.filter(({kind}) => kind === "draft")
	const served = drafts.filter(({end}) => end === CallEnd.Answered).length
	report(
		served > 0 && callers.breaches.length === 0,
		`${label}: ${next} agents in place of ${agentBuild} ones, ${served} of ${drafts.length} streams`
	)
}

/** Makes gateways and agents log refusals and failures, whatever came before. */
async function loseEngines(deployment) {
	const callers = new Callers(deployment, Math.random)
	callers.start(6)
	await sleep(500)
	for (const {agent, worker} of deployment.sites) {
		if (agent !== undefined) await worker.crash(true)
	}
	await sleep(2500)
	for (const {agent} of deployment.sites) await agent?.kill()
	await sleep(1500)
	await callers.stop()
}

async function noteMetrics({callers}, build) {
	const [ip] = callers.split(":")
	const text = await (await fetch(`http://${ip}:9464/metrics`)).text()
	for (const line of text.split("\n")) {
		const [, name, labels = ""] = /^(\w+)(?:\{(.*?)\})?\s/.exec(line) ?? []
		if (name === undefined) continue
		const keys = [...labels.matchAll(/(\w+)="/g)].map(([, key]) => key)
		note(build, "metrics of gateway", `${name}{${keys.join(",")}}`)
	}
}

function compareNames() {
	const kinds = new Set([...seen.old.keys(), ...seen.new.keys()])
	for (const kind of [...kinds].sort()) {
		const [before, after] = builds.map(
			build => seen[build].get(kind) ?? new Set()
		)
		const gone = [...before].filter(name => !after.has(name))
		const added = [...after].filter(name => !before.has(name))
		const differs = `old only: ${gone.join("; ") || "none"}; new only: ${added.join("; ") || "none"}`
		const isText = /^log messages of (entry|endpoint|program)$/.test(kind)
		report(
			isText || gone.length + added.length === 0,
			`${kind}: ${before.size} old, ${after.size} new; ${differs}`
		)
	}
}

process.once("exit", () => {
	rmSync(dir, {recursive: true, force: true})
})
for (const build of builds) {
	await checkOwnInterface(build, otherOf(build))
	await checkOwnInterface(build, build)
}
let block = 91
for (const build of builds) {
	const other = otherOf(build)
	await checkPlatform(`${build} gateways, ${other} agents`, block++, {
		gatewayBuild: () => build,
		agentBuild: other
	})
	await checkPlatform(`${build} sources, ${other} follower`, block++, {
		gatewayBuild: name => (name === "gateway-4" ? other : build),
		agentBuild: build
	})
}
compareNames()
console.log(failures === 0 ? "all checks passed" : `${failures} checks failed`)
process.exit(failures === 0 ? 0 : 1)
