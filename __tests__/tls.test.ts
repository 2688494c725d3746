/**
 * Certificates between processes and towards callers, with an authority that
 * is made for the test by openssl.
 */
import {execFile} from "node:child_process"
import {once} from "node:events"
import {mkdtempSync, readFileSync, rmSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {connect, type TLSSocket} from "node:tls"
import {promisify} from "node:util"
import * as grpc from "@grpc/grpc-js"
import {Agent, request} from "undici"
import {afterAll, beforeAll, expect, test} from "vitest"
import {
	ChildProcess,
	defaultDistDir,
	findAddress
} from "../bench/deployment/index.js"
import {parseConfiguration} from "../src/contract/config/index.js"
import {HostRole, HostState} from "../src/host/host.js"
import {HttpPlatform, LinkClient, type TlsKeys} from "../src/link/index.js"
import {applyConfiguration} from "../src/operator/apply.js"
import {messageOf, sleep} from "../src/utils/common.js"
import {
	type PlatformStandin,
	type ServiceStandin,
	startPlatform,
	startService
} from "../standins/index.js"
import {bedConfiguration, servicePool} from "./faults/bed.js"
import {headersOf} from "./faults/caller.js"

const run = promisify(execFile)
const pollMs = 25
const waitLimitMs = 30_000
const unreachableMs = 2000
/** Reserved for documentation, so that nothing can be bound there. */
const foreignIp = "192.0.2.1"

const folder = mkdtempSync(join(tmpdir(), "goldcrestloom-tls-"))
const children: ChildProcess[] = []
const clients: LinkClient[] = []
let platform: PlatformStandin
let service: ServiceStandin
let entry: ChildProcess
let entryListen = ""
let entryLink = ""
let endpointLink = ""

function pathOf(file: string): string {
	return join(folder, file)
}

async function openssl(...args: string[]): Promise<void> {
	await run("openssl", args, {cwd: folder})
}

/** Makes an authority and one certificate for loopback that it signs. */
async function createAuthority(name: string): Promise<void> {
	const key = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1"]
	const common = ["req", "-x509", ...key, "-nodes", "-days", "2"]
	const authority = ["-keyout", `${name}-ca.key`, "-out", `${name}-ca.pem`]
	await openssl(...common, ...authority, "-subj", `/CN=${name} authority`)
	const issuer = ["-CA", `${name}-ca.pem`, "-CAkey", `${name}-ca.key`]
	const host = ["-keyout", `${name}.key`, "-out", `${name}.pem`]
	const names = ["-subj", `/CN=${name}`]
	const extension = ["-addext", "subjectAltName=IP:127.0.0.1"]
	await openssl(...common, ...issuer, ...host, ...names, ...extension)
}

function readKeys(host: string, authority: string): TlsKeys {
	return {
		cert: readFileSync(pathOf(`${host}.pem`)),
		key: readFileSync(pathOf(`${host}.key`)),
		ca: readFileSync(pathOf(`${authority}-ca.pem`))
	}
}

const tlsFlags = {
	"tls-cert": pathOf("ours.pem"),
	"tls-key": pathOf("ours.key"),
	"tls-ca": pathOf("ours-ca.pem")
}

function createProgram(
	program: "entry" | "endpoint",
	values: Record<string, string>
): ChildProcess {
	const all = {
		id: `${program}-1`,
		"failure-domain": "north",
		platform: platform.url,
		...values
	}
	const args = Object.entries(all).flatMap(([name, value]) => [
		`--${name}`,
		value
	])
	const file = join(defaultDistDir(), `src/bin/${program}.js`)
	const child = new ChildProcess({name: program, program: file, args})
	children.push(child)
	return child
}

function entryFlags(): Record<string, string> {
	return {
		...tlsFlags,
		listen: entryListen,
		link: entryLink,
		"caller-cert": pathOf("ours.pem"),
		"caller-key": pathOf("ours.key"),
		"lame-duck-ms": "0"
	}
}

function endpointFlags(): Record<string, string> {
	return {
		...tlsFlags,
		pool: servicePool,
		workers: service.url,
		link: endpointLink,
		entries: entryLink
	}
}

async function applyBedConfiguration(): Promise<void> {
	const client = new HttpPlatform({url: platform.url})
	await applyConfiguration({
		platform: client,
		configuration: parseConfiguration(bedConfiguration()),
		operator: "tests",
		applyId: "apply-tls",
		now: () => Date.now()
	})
	await client.close()
}

async function until(isTrue: () => Promise<boolean>): Promise<void> {
	const limit = Date.now() + waitLimitMs
	while (!(await isTrue())) {
		if (Date.now() > limit) throw new Error(`waited in vain: ${entry.stderr}`)
		await sleep(pollMs)
	}
}

beforeAll(async () => {
	await createAuthority("ours")
	await createAuthority("other")
	platform = await startPlatform({hostLagMs: 0})
	service = await startService({callMs: 1})
	entryListen = await findAddress()
	entryLink = await findAddress()
	endpointLink = await findAddress()
	await applyBedConfiguration()
	platform.setHosts([
		{
			id: "endpoint-1",
			role: HostRole.Endpoint,
			address: endpointLink,
			failureDomain: "north",
			pool: servicePool,
			state: HostState.Live
		}
	])
	entry = createProgram("entry", entryFlags())
	entry.start()
	createProgram("endpoint", endpointFlags()).start()
	await until(async () => (await book("first")) === 200)
})

afterAll(async () => {
	for (const client of clients) client.close()
	await Promise.all(children.map(child => child.kill()))
	await service.close()
	await platform.close()
	rmSync(folder, {recursive: true})
})

/** Books over HTTPS with our authority; 0 when there is no connection. */
async function book(order: string): Promise<number> {
	const ca = readFileSync(pathOf("ours-ca.pem"))
	const agent = new Agent({connect: {ca}})
	try {
		const res = await request(`https://${entryListen}/v1/services/bookings`, {
			method: "POST",
			dispatcher: agent,
			body: JSON.stringify({order}),
			headers: headersOf({key: `key-${order}`})
		})
		await res.body.dump()
		return res.statusCode
	} catch {
		return 0
	} finally {
		await agent.destroy()
	}
}

function openLink(address: string, tls: TlsKeys | undefined): LinkClient {
	const client = new LinkClient({address, tls, timeoutMs: unreachableMs})
	clients.push(client)
	return client
}

test("a booking runs over certificates on every link", async () => {
	expect(await book("second")).toBe(200)
	expect(service.truth().runsByBody).toMatchObject({second: 1})
})

const links = ["entry", "endpoint"] as const

function addressOf(link: (typeof links)[number]): string {
	return link === "entry" ? entryLink : endpointLink
}

test.each(links)("the %s takes a peer of its authority", async link => {
	const client = openLink(addressOf(link), readKeys("ours", "ours"))
	const {self} = await client.status()
	expect(self?.hostId).toBe(`${link}-1`)
})

test.each(links)("the %s refuses a peer of another authority", async link => {
	const client = openLink(addressOf(link), readKeys("other", "ours"))
	await expect(client.status()).rejects.toMatchObject({
		name: "LinkError",
		code: grpc.status.UNAVAILABLE
	})
})

test.each(links)("the %s refuses a peer in plain text", async link => {
	const client = openLink(addressOf(link), undefined)
	await expect(client.status()).rejects.toMatchObject({name: "LinkError"})
})

test.each(links)("the %s refuses a peer without a certificate", async link => {
	const [host = "", port = ""] = addressOf(link).split(":")
	const ca = readFileSync(pathOf("ours-ca.pem"))
	const socket = connect({host, port: Number(port), ca, ALPNProtocols: ["h2"]})
	expect(await readError(socket)).toMatch(/certificate required/)
})

/** The error that ends a connection, as the server sends nothing before. */
async function readError(socket: TLSSocket): Promise<string> {
	let received = 0
	socket.on("data", (chunk: Buffer) => (received += chunk.length))
	const [err] = (await once(socket, "error")) as unknown[]
	expect(received).toBe(0)
	return messageOf(err)
}

test("a peer refuses a server of another authority", async () => {
	const client = openLink(entryLink, readKeys("ours", "other"))
	await expect(client.status()).rejects.toMatchObject({name: "LinkError"})
})

test("a foreign endpoint process can't announce itself", async () => {
	const client = openLink(entryLink, readKeys("other", "ours"))
	const intruder = {
		hostId: "intruder",
		address: "127.0.0.1:1",
		pool: servicePool,
		role: HostRole.Endpoint,
		failureDomain: "north",
		incarnation: 1
	}
	await expect(client.announce(intruder)).rejects.toThrow()
	const peer = openLink(entryLink, readKeys("ours", "ours"))
	const {hosts} = await peer.status()
	expect(hosts.map(({hostId}) => hostId)).toEqual(["endpoint-1"])
})

test("callers in plain text or of no authority get no answer", async () => {
	const path = "/healthz"
	await expect(request(`http://${entryListen}${path}`)).rejects.toThrow()
	await expect(request(`https://${entryListen}${path}`)).rejects.toThrow(
		/self-signed|unable to verify/
	)
})

interface Refusal {
	what: string
	program: "entry" | "endpoint"
	flags: Record<string, string>
	fault: string
}

const noTls = {"tls-cert": "", "tls-key": "", "tls-ca": ""}
const noCallerTls = {"caller-cert": "", "caller-key": ""}
const foreignAddress = `${foreignIp}:7000`
const plainTextFault = `${foreignAddress} is not a loopback address: set --tls-cert, --tls-key and --tls-ca, or --insecure true`

const refusals: Refusal[] = [
	{
		what: "plain text on the link of an entry",
		program: "entry",
		flags: {...noTls, link: foreignAddress},
		fault: plainTextFault
	},
	{
		what: "plain text on the link of an endpoint process",
		program: "endpoint",
		flags: {...noTls, link: foreignAddress},
		fault: plainTextFault
	},
	{
		what: "plain text towards callers",
		program: "entry",
		flags: {...noCallerTls, listen: foreignAddress},
		fault: `${foreignAddress} is not a loopback address: set --caller-cert and --caller-key, or --insecure true`
	},
	{
		what: "a certificate without its key",
		program: "endpoint",
		flags: {"tls-key": ""},
		fault: "--tls-cert, --tls-key and --tls-ca must be set together"
	},
	{
		what: "a certificate that is not there",
		program: "endpoint",
		flags: {"tls-cert": pathOf("nothing.pem")},
		fault: "--tls-cert: ENOENT"
	},
	{
		what: "a callers' certificate without its key",
		program: "entry",
		flags: {"caller-key": ""},
		fault: "--caller-cert and --caller-key must be set together"
	},
	{
		what: "a callers' key without its certificate",
		program: "entry",
		flags: {"caller-cert": ""},
		fault: "--caller-cert and --caller-key must be set together"
	},
	{
		what: "a callers' certificate that is none",
		program: "entry",
		flags: {"caller-cert": pathOf("ours.key")},
		fault: "--caller-cert and --caller-key: "
	}
]

/** Flags of a second process, which must not get as far as listening. */
async function createSecond({
	program,
	flags
}: Pick<Refusal, "program" | "flags">): Promise<ChildProcess> {
	const free = {link: await findAddress()}
	const base =
		program === "entry"
			? {...entryFlags(), listen: await findAddress()}
			: endpointFlags()
	return createProgram(program, {...base, ...free, ...flags})
}

test.each(refusals)("$what ends the start with code 2", async refusal => {
	const child = await createSecond(refusal)
	child.start()
	expect((await child.exited).code).toBe(2)
	expect(child.stderr).toContain(
		`goldcrestloom-${refusal.program}: ${refusal.fault}`
	)
})

test("--insecure true takes plain text on any address", async () => {
	const flags = {...noTls, link: foreignAddress, insecure: "true"}
	const child = await createSecond({program: "endpoint", flags})
	child.start()
	const {code} = await child.exited
	expect(child.stderr).not.toContain("is not a loopback address")
	// It got as far as binding an address that this host does not have.
	expect(child.stderr).toMatch(/EADDRNOTAVAIL|No address added/)
	expect(code).toBe(1)
})
