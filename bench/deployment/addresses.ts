/** Loopback addresses of every process of a deployment. */
import {findAddress, findPorts, loopbackIp} from "./ports.js"
import {
	type DeploymentSpec,
	type EndpointLayout,
	layOutPool
} from "./topology.js"

export interface EntryAddresses {
	id: string
	failureDomain: string
	/** For callers. */
	listen: string
	link: string
}

export interface EndpointAddresses extends EndpointLayout {
	link: string
	health: string
	/** URLs of its engines or of its plain service. */
	workerUrls: string[]
}

export interface DeploymentAddresses {
	platformUrl: string
	weightStoreUrl: string
	entries: EntryAddresses[]
	endpoints: EndpointAddresses[]
}

export async function chooseAddresses({
	entries: entryCount,
	failureDomains,
	engines,
	service
}: DeploymentSpec): Promise<DeploymentAddresses> {
	const entries: EntryAddresses[] = []
	for (let i = 0; i < entryCount; i++) {
		entries.push({
			id: `entry-${i + 1}`,
			failureDomain: failureDomains[i % failureDomains.length] ?? "",
			listen: await findAddress(),
			link: await findAddress()
		})
	}
	const endpoints: EndpointAddresses[] = []
	for (const pool of [engines, service]) {
		const layouts = layOutPool(pool.name, pool.workers, failureDomains)
		for (const layout of layouts) endpoints.push(await addressEndpoint(layout))
	}
	return {
		platformUrl: `http://${await findAddress()}`,
		weightStoreUrl: `http://${await findAddress()}`,
		entries,
		endpoints
	}
}

async function addressEndpoint(
	layout: EndpointLayout
): Promise<EndpointAddresses> {
	const firstPort = await findPorts(layout.workers)
	const workerUrls = Array.from(
		{length: layout.workers},
		(_, index) => `http://${loopbackIp}:${firstPort + index}`
	)
	const link = await findAddress()
	const health = await findAddress()
	return {...layout, link, health, workerUrls}
}
