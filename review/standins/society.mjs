/** A small deployment with settings like the Society's: its configuration and kinds. */
import {ModelWorker, PlainWorker} from "./worker.mjs"
import {zone} from "./deployment.mjs"

export const host = "ficu95.example"
export const model = "daka510000"
export const desk = "orders-desk"
export const writers = "loom-writers"

export function createConfig(
	version,
	{adapters = 3000, adapterSlots = 5} = {}
) {
	const base = {host, max_attempts: 1, resumable: false, target_gap_ms: 0}
	return {
		version,
		routes: [
			{
				...base,
				name: "drafts",
				path_prefix: "/draft/",
				kind: "streaming",
				timeout_ms: 4000,
				target_latency_ms: 800,
				target_gap_ms: 300,
				priority: 0,
				service: writers,
				sticky: true
			},
			{
				...base,
				name: "summaries",
				path_prefix: "/summary/",
				kind: "streaming",
				timeout_ms: 15_000,
				target_latency_ms: 800,
				target_gap_ms: 300,
				priority: 0,
				service: writers,
				sticky: true
			},
			{
				...base,
				name: "bookings",
				path_prefix: "/book/",
				kind: "unsafe",
				timeout_ms: 1500,
				target_latency_ms: 193,
				priority: 2,
				service: desk
			},
			{
				...base,
				name: "status",
				path_prefix: "/status/",
				kind: "safe",
				timeout_ms: 1500,
				target_latency_ms: 193,
				priority: 2,
				service: desk,
				max_attempts: 2
			}
		],
		services: [
			{
				name: writers,
				health_path: "/health",
				max_conns: 360,
				protocol: "h1",
				tls: false,
				engine: {
					slots: 64,
					kv_capacity: 130_543,
					models: [
						{
							name: model,
							weights_mb: 65_100,
							load_time_s: 0.6,
							adapters,
							adapter_mb: 40
						}
					],
					weights_mb: 66_000,
					adapter_slots: adapterSlots,
					loads_per_s: 4.8
				}
			},
			{
				name: desk,
				health_path: "/health",
				max_conns: 100,
				protocol: "h1",
				tls: false
			}
		],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 4_194_304,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000
		}
	}
}

export const booking = {
	share: 0.7,
	method: "POST",
	path: "/book/slot",
	host,
	deadlineMs: 1500,
	body: "x".repeat(300)
}

export const statusCheck = {
	share: 0.3,
	method: "GET",
	path: "/status/order",
	host,
	deadlineMs: 1500
}

export function createDraft(adapter, share) {
	return {
		share,
		method: "POST",
		path: "/draft/note",
		host,
		deadlineMs: 4000,
		body: "x".repeat(600),
		headers: session => ({
			"X-Model": `${model}/${adapter}`,
			"X-Token-Count": "300,24",
			"X-Prompt-Prefix": `5c1e07a2:200,${session}:100`
		})
	}
}

/** As a draft, on the route whose streams may last 15 s. */
export function createSummary(adapter, share) {
	const path = "/summary/coating"
	return {...createDraft(adapter, share), path, deadlineMs: 15_000}
}

export function createDeskWorker(index, record) {
	return new PlainWorker({
		id: `i-desk${index}`,
		service: desk,
		zone,
		slots: 6,
		workMs: 43,
		record
	})
}

export function createWriter(index, options) {
	return new ModelWorker({
		id: `i-writer${index}`,
		service: writers,
		zone,
		slots: 64,
		model,
		adapterSlots: 5,
		eventMs: 60,
		events: 8,
		...options
	})
}
