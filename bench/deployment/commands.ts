/** Command lines of the stand-ins and programs of a deployment. */
import type {
	DeploymentAddresses,
	EndpointAddresses,
	EntryAddresses
} from "./addresses.js"
import type {ChildOptions} from "./childProcess.js"
import type {DeploymentSpec} from "./topology.js"

/** A process to start and the URL that answers 200 once it is ready. */
export interface Command extends ChildOptions {
	readyUrl: string
}

export interface ProgramOptions {
	addresses: DeploymentAddresses
	/** Environment of entries and endpoint processes. */
	env: Record<string, string>
	operatorToken: string
	logLevel: string
	drainMs: number
}

export function platformCommand({platformUrl}: DeploymentAddresses): Command {
	return {
		name: "platform",
		program: "standins/bin/platform.js",
		args: flags({listen: addressOf(platformUrl)}),
		readyUrl: `${platformUrl}/healthz`
	}
}

export function weightStoreCommand(
	{weightStoreUrl}: DeploymentAddresses,
	{weightStore}: DeploymentSpec
): Command {
	return {
		name: "weight-store",
		program: "standins/bin/weightStore.js",
		args: flags({
			listen: addressOf(weightStoreUrl),
			"load-ms": weightStore.loadMs,
			"loads-per-second": weightStore.loadsPerSecond,
			"max-in-flight": weightStore.inFlight
		}),
		readyUrl: `${weightStoreUrl}/healthz`
	}
}

/** The workers of one endpoint host, in one process. */
export function workersCommand(
	endpoint: EndpointAddresses,
	{weightStoreUrl}: DeploymentAddresses,
	spec: DeploymentSpec
): Command {
	const {engines, service} = spec
	const [first = ""] = endpoint.workerUrls
	const common = {
		name: `workers-of-${endpoint.id}`,
		readyUrl: `${first}/healthz`
	}
	const listen = addressOf(first)
	if (endpoint.pool !== engines.name) {
		const args = flags({listen, "call-ms": service.callMs})
		return {...common, program: "standins/bin/service.js", args}
	}
	const args = flags({
		listen,
		count: endpoint.workers,
		"weight-store-url": weightStoreUrl,
		slots: engines.slots,
		seats: engines.seats,
		"ms-per-token": engines.msPerToken,
		"checks-orders": String(engines.checksOrders ?? false)
	})
	return {...common, program: "standins/bin/engine.js", args}
}

export function entryCommand(
	{id, failureDomain, listen, link}: EntryAddresses,
	{addresses, env, operatorToken, logLevel, drainMs}: ProgramOptions
): Command {
	const peers = addresses.entries.map(entry => entry.link)
	return {
		name: id,
		program: "src/bin/entry.js",
		env,
		args: flags({
			id,
			"failure-domain": failureDomain,
			listen,
			link,
			platform: addresses.platformUrl,
			peers: peers.filter(peer => peer !== link).join(","),
			"operator-token": operatorToken,
			"log-level": logLevel,
			"drain-ms": drainMs
		}),
		readyUrl: `http://${listen}/readyz`
	}
}

export function endpointCommand(
	endpoint: EndpointAddresses,
	{addresses, env, operatorToken, logLevel, drainMs}: ProgramOptions
): Command {
	const {id, failureDomain, pool, link, health, workerUrls} = endpoint
	return {
		name: id,
		program: "src/bin/endpoint.js",
		env,
		args: flags({
			id,
			"failure-domain": failureDomain,
			pool,
			link,
			health,
			workers: workerUrls.join(","),
			platform: addresses.platformUrl,
			entries: addresses.entries.map(entry => entry.link).join(","),
			"operator-token": operatorToken,
			"log-level": logLevel,
			"drain-ms": drainMs
		}),
		readyUrl: `http://${health}/readyz`
	}
}

function flags(values: Record<string, string | number>): string[] {
	const pairs = Object.entries(values)
	return pairs.flatMap(([name, value]) => [`--${name}`, String(value)])
}

function addressOf(url: string): string {
	return url.slice("http://".length)
}
