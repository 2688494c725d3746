/**
 * The demo: the Society's deployment at its real size on loopback stand-ins,
 * a few requests as callers send them, and the burn report.
 *
 *   npm run demo
 *   npm run demo -- --keep
 */
import {cac} from "cac"
import {Agent, request} from "undici"
import {HttpPlatform} from "../src/link/index.js"
import {readBurnReport, renderBurnText} from "../src/report/index.js"
import {messageOf} from "../src/utils/common.js"
import {
	Deployment,
	DeploymentName,
	deploymentSpecs,
	exitOnSignal
} from "./deployment/index.js"
import {startConfigured} from "./scenario/index.js"

const model = "loom-7b:m-0010@v2"
const member = "lowell-club"
const order = "mirror-1894"
const draftMs = 30_000
const callMs = 10_000
const applyLinesShown = 2
const agent = new Agent({keepAliveTimeout: 1000})

async function main(): Promise<void> {
	const cli = cac("demo")
	cli.option("--keep", "Leave the deployment running")
	cli.help()
	const {options} = cli.parse(process.argv, {run: false})
	if (options.help === true) return
	const deployment = new Deployment({
		spec: deploymentSpecs[DeploymentName.Society]
	})
	try {
		await runDemo(deployment, options.keep === true)
	} catch (err) {
		process.stderr.write(`${deployment.describeStderr()}\n`)
		throw err
	} finally {
		await deployment.stop()
		await agent.close()
	}
}

async function runDemo(deployment: Deployment, keep: boolean): Promise<void> {
	const {workers} = deployment.spec.engines
	console.log(`starting ${workers} engines, 4 services and 3 entries`)
	const applied = await startConfigured(deployment)
	console.log(applied.trim().split("\n").slice(-applyLinesShown).join("\n"))
	const [entry = ""] = deployment.entryUrls
	await sendDraft(entry)
	await sendBooking(entry, "the booking runs")
	const other = deployment.entryUrls[1] ?? entry
	await sendBooking(other, "the same key at another entry: not run again")
	await sendStatus(entry)
	await printBurn(deployment)
	if (!keep) return
	printCommands(entry, deployment)
	await new Promise(() => undefined)
}

async function sendDraft(entry: string): Promise<void> {
	console.log(`\nPOST /v1/completions, model ${model}`)
	const res = await request(`${entry}/v1/completions`, {
		method: "POST",
		dispatcher: agent,
		headers: {
			"content-type": "application/json",
			"x-member": member,
			"x-deadline": String(Date.now() + draftMs)
		},
		body: JSON.stringify({
			model,
			prompt: "Coating summary of a 40 cm mirror.",
			max_tokens: 24,
			stream: true
		})
	})
	console.log(
		`${res.statusCode}, waited ${String(res.headers["x-load-stall-ms"])} ms for its adapter`
	)
	for await (const chunk of res.body) {
		process.stdout.write((chunk as Buffer).toString().replaceAll("\n\n", "\n"))
	}
}

async function sendBooking(entry: string, note: string): Promise<void> {
	console.log(`\nPOST /v1/services/bookings at ${entry} (${note})`)
	const res = await request(`${entry}/v1/services/bookings`, {
		method: "POST",
		dispatcher: agent,
		headers: {
			"content-type": "application/json",
			"x-member": member,
			"x-deadline": String(Date.now() + callMs),
			"idempotency-key": `${member}-${order}`
		},
		body: JSON.stringify({order, chamber: 2})
	})
	console.log(`${res.statusCode} ${await res.body.text()}`)
}

async function sendStatus(entry: string): Promise<void> {
	console.log(`\nGET /v1/services/orders/${order}`)
	console.log("each service stand-in keeps its own orders: others say open")
	const res = await request(`${entry}/v1/services/orders/${order}`, {
		dispatcher: agent,
		headers: {
			"x-member": member,
			"x-deadline": String(Date.now() + callMs)
		}
	})
	console.log(`${res.statusCode} ${await res.body.text()}`)
}

/** Replaces the entries, each of which writes its counts, and reports. */
async function printBurn(deployment: Deployment): Promise<void> {
	console.log("\nentries write their burn counts as they drain")
	for (const {id} of deployment.entries) {
		await deployment.child(id).terminate()
		deployment.child(id).start()
	}
	await deployment.waitReady()
	const platform = new HttpPlatform({url: deployment.platformUrl})
	const report = await readBurnReport({platform, at: Date.now()})
	console.log(renderBurnText(report))
	await platform.close()
}

function printCommands(entry: string, {platformUrl}: Deployment): void {
	const deadline = '-H "x-deadline: $(date -d +8sec +%s)000"'
	const common = `-H "x-member: ${member}" ${deadline}`
	const json = '-H "content-type: application/json"'
	console.log(`base URL ${entry}, platform ${platformUrl}; Ctrl-C ends it

curl -N ${entry}/v1/completions ${common} ${json} \\
  -d '{"model": "${model}", "prompt": "Hello", "max_tokens": 16, "stream": true}'
curl ${entry}/v1/services/bookings ${common} ${json} \\
  -H "idempotency-key: my-key-1" -d '{"order": "mirror-2001"}'
curl ${entry}/v1/services/orders/mirror-2001 ${common}
goldcrestloom-burn --platform ${platformUrl}`)
}

exitOnSignal()
try {
	await main()
} catch (err) {
	process.stderr.write(`demo: ${messageOf(err)}\n`)
	process.exitCode = 1
}
