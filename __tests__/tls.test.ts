/**
 * Mutual TLS between entries and endpoint processes, and TLS towards callers.
 * openssl creates the certificate authorities when the test starts.
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
import {createTestBedFiles, servicePoolName} from "./faults/testBed.js"
import {createHeaders} from "./faults/caller.js"

const execFileAsync = promisify(execFile)
const pollMs = 25
const waitLimitMs = 30_000
const linkTimeoutMs = 2000
/** Reserved for documentation (RFC 5737), so no host can bind it. */
const unassignedIp = "192.0.2.1"

const folder = mkdtempSync(join(tmpdir(), "goldcrestloom-tls-"))
const children: ChildProcess[] = []
const clients: LinkClient[] = []
let platform: PlatformStandin
let service: ServiceStandin
let entry: ChildProcess
let entryListen = ""
let entryLink = ""
let endpointLink = ""

function resolvePath(file: string): string {
	return join(folder, file)
}

async function runOpenssl(...args: string[]): Promise<void> {
	await execFileAsync("openssl", args, {cwd: folder})
}

/** Creates an authority, and a certificate for 127.0.0.1 that it signs. */
async function createAuthority(name: string): Promise<void> {
	const key = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1"]
	const common = ["req", "-x509", ...key, "-nodes", "-days", "2"]
	const authority = ["-keyout", `${name}-ca.key`, "-out", `${name}-ca.pem`]
	await runOpenssl(...common, ...authority, "-subj", `/CN=${name} authority`)
	const issuer = ["-CA", `${name}-ca.pem`, "-CAkey", `${name}-ca.key`]
	const host = ["-keyout", `${name}.key`, "-out", `${name}.pem`]
	const names = ["-subj", `/CN=${name}`]
	const extension = ["-addext", "subjectAltName=IP:127.0.0.1"]
	await runOpenssl(...common, ...issuer, ...host, ...names, ...extension)
}

function readKeys(host: string, authority: string): TlsKeys {
	return {
		cert: readFileSync(resolvePath(`${host}.pem`)),
		key: readFileSync(resolvePath(`${host}.key`)),
		ca: readFileSync(resolvePath(`${authority}-ca.pem`))
	}
}

const tlsFlags = {
	"tls-cert": resolvePath("ours.pem"),
	"tls-key": resolvePath("ours.key"),
	"tls-ca": resolvePath("ours-ca.pem")
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

function createEntryFlags(): Record<string, string> {
	return {
		...tlsFlags,
		listen: entryListen,
		link: entryLink,
		"caller-cert": resolvePath("ours.pem"),
		"caller-key": resolvePath("ours.key"),
		"lame-duck-ms": "0"
	}
}

function createEndpointFlags(): Record<string, string> {
	return {
		...tlsFlags,
		pool: servicePoolName,
		workers: service.url,
		link: endpointLink,
		entries: entryLink
	}
}

async function applyTestBedConfiguration(): Promise<void> {
	const client = new HttpPlatform({url: platform.url})
	await applyConfiguration({
		platform: client,
		configuration: parseConfiguration(createTestBedFiles()),
		operator: "tests",
		applyId: "apply-tls",
		now: () => Date.now()
	})
	await client.close()
}

async function waitUntil(isMet: () => Promise<boolean>): Promise<void> {
	const limit = Date.now() + waitLimitMs
	while (!(await isMet())) {
		if (Date.now() > limit)
			throw new Error(
				`timed out waiting until a booking over HTTPS succeeds; stderr of the entry: ${entry.stderr}`
			)
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
	await applyTestBedConfiguration()
	platform.setHosts([
		{
			id: "endpoint-1",
			role: HostRole.Endpoint,
			address: endpointLink,
			failureDomain: "north",
			pool: servicePoolName,
			state: HostState.Live
		}
	])
	entry = createProgram("entry", createEntryFlags())
	entry.start()
	createProgram("endpoint", createEndpointFlags()).start()
	await waitUntil(async () => (await bookOverHttps("first")) === 200)
})

afterAll(async () => {
	for (const client of clients) client.close()
	await Promise.all(children.map(child => child.kill()))
	await service.close()
	await platform.close()
	rmSync(folder, {recursive: true})
})

/**
 * Books over HTTPS, trusting the authority "ours". Returns the status, or 0 when
 * there is no response.
 */
async function bookOverHttps(order: string): Promise<number> {
	const ca = readFileSync(resolvePath("ours-ca.pem"))
	const agent = new Agent({connect: {ca}})
	try {
		const res = await request(`https://${entryListen}/v1/services/bookings`, {
			method: "POST",
			dispatcher: agent,
			body: JSON.stringify({order}),
			headers: createHeaders({key: `key-${order}`})
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
	const client = new LinkClient({address, tls, timeoutMs: linkTimeoutMs})
	clients.push(client)
	return client
}

test("books through entry and endpoint process with mutual TLS on every link", async () => {
	expect(await bookOverHttps("second")).toBe(200)
	expect(service.truth().runsByBody).toMatchObject({second: 1})
})

const links = ["entry", "endpoint"] as const

function getLinkAddress(link: (typeof links)[number]): string {
	return link === "entry" ? entryLink : endpointLink
}

test.each(links)(
	"the %s accepts a peer certificate of its authority",
	async link => {
		const client = openLink(getLinkAddress(link), readKeys("ours", "ours"))
		const {self} = await client.status()
		expect(self?.hostId).toBe(`${link}-1`)
	}
)

test.each(links)(
	"the %s rejects a peer certificate of another authority",
	async link => {
		const client = openLink(getLinkAddress(link), readKeys("other", "ours"))
		await expect(client.status()).rejects.toMatchObject({
			name: "LinkError",
			code: grpc.status.UNAVAILABLE
		})
	}
)

test.each(links)("the %s rejects a peer in plain text", async link => {
	const client = openLink(getLinkAddress(link), undefined)
	await expect(client.status()).rejects.toMatchObject({name: "LinkError"})
})

test.each(links)("the %s rejects a peer without a certificate", async link => {
	const [host = "", port = ""] = getLinkAddress(link).split(":")
	const ca = readFileSync(resolvePath("ours-ca.pem"))
	const socket = connect({host, port: Number(port), ca, ALPNProtocols: ["h2"]})
	expect(await readConnectionError(socket)).toMatch(/certificate required/)
})

/** Resolves with the error of a socket that must not receive any data. */
async function readConnectionError(socket: TLSSocket): Promise<string> {
	let received = 0
	socket.on("data", (chunk: Buffer) => (received += chunk.length))
	const [err] = (await once(socket, "error")) as unknown[]
	expect(received).toBe(0)
	return messageOf(err)
}

test("a client rejects a server certificate of another authority", async () => {
	const client = openLink(entryLink, readKeys("ours", "other"))
	await expect(client.status()).rejects.toMatchObject({name: "LinkError"})
})

test("rejects the announcement of an endpoint process of another authority", async () => {
	const client = openLink(entryLink, readKeys("other", "ours"))
	const intruder = {
		hostId: "intruder",
		address: "127.0.0.1:1",
		pool: servicePoolName,
		role: HostRole.Endpoint,
		failureDomain: "north",
		incarnation: 1
	}
	await expect(client.announce(intruder)).rejects.toThrow()
	const peer = openLink(entryLink, readKeys("ours", "ours"))
	const {hosts} = await peer.status()
	expect(hosts.map(({hostId}) => hostId)).toEqual(["endpoint-1"])
})

test("gives a caller no answer over plain text, nor over TLS when it does not trust the authority", async () => {
	const path = "/healthz"
	await expect(request(`http://${entryListen}${path}`)).rejects.toThrow()
	await expect(request(`https://${entryListen}${path}`)).rejects.toThrow(
		/self-signed|unable to verify/
	)
})

interface StartFailure {
	condition: string
	program: "entry" | "endpoint"
	flags: Record<string, string>
	message: string
}

const withoutTls = {"tls-cert": "", "tls-key": "", "tls-ca": ""}
const withoutCallerTls = {"caller-cert": "", "caller-key": ""}
const unassignedAddress = `${unassignedIp}:7000`
const plainTextMessage = `${unassignedAddress} is not a loopback address: set --tls-cert, --tls-key and --tls-ca, or --insecure true`

const startFailures: StartFailure[] = [
	{
		condition: "plain text on the link of an entry",
		program: "entry",
		flags: {...withoutTls, link: unassignedAddress},
		message: plainTextMessage
	},
	{
		condition: "plain text on the link of an endpoint process",
		program: "endpoint",
		flags: {...withoutTls, link: unassignedAddress},
		message: plainTextMessage
	},
	{
		condition: "plain text on the callers' address",
		program: "entry",
		flags: {...withoutCallerTls, listen: unassignedAddress},
		message: `${unassignedAddress} is not a loopback address: set --caller-cert and --caller-key, or --insecure true`
	},
	{
		condition: "a certificate without its key",
		program: "endpoint",
		flags: {"tls-key": ""},
		message: "--tls-cert, --tls-key and --tls-ca must be set together"
	},
	{
		condition: "a certificate file that does not exist",
		program: "endpoint",
		flags: {"tls-cert": resolvePath("nothing.pem")},
		message: "--tls-cert: ENOENT"
	},
	{
		condition: "a callers' certificate without its key",
		program: "entry",
		flags: {"caller-key": ""},
		message: "--caller-cert and --caller-key must be set together"
	},
	{
		condition: "a callers' key without its certificate",
		program: "entry",
		flags: {"caller-cert": ""},
		message: "--caller-cert and --caller-key must be set together"
	},
	{
		condition: "a callers' certificate file that holds a key",
		program: "entry",
		flags: {"caller-cert": resolvePath("ours.key")},
		message: "--caller-cert and --caller-key: "
	}
]

/** Creates a process on free ports that is expected to fail at its start. */
async function createSecondProcess({
	program,
	flags
}: Pick<StartFailure, "program" | "flags">): Promise<ChildProcess> {
	const free = {link: await findAddress()}
	const base =
		program === "entry"
			? {...createEntryFlags(), listen: await findAddress()}
			: createEndpointFlags()
	return createProgram(program, {...base, ...free, ...flags})
}

test.each(startFailures)(
	"exits with code 2 and names the flag: $condition",
	async refusal => {
		const child = await createSecondProcess(refusal)
		child.start()
		expect((await child.exited).code).toBe(2)
		expect(child.stderr).toContain(
			`goldcrestloom-${refusal.program}: ${refusal.message}`
		)
	}
)

test("--insecure true allows plain text on any address", async () => {
	const flags = {...withoutTls, link: unassignedAddress, insecure: "true"}
	const child = await createSecondProcess({program: "endpoint", flags})
	child.start()
	const {code} = await child.exited
	expect(child.stderr).not.toContain("is not a loopback address")
	// The process accepted the setting, then failed to bind an address that this
	// host does not have.
	expect(child.stderr).toMatch(/EADDRNOTAVAIL|No address added/)
	expect(code).toBe(1)
})
