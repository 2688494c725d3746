/** JSON calls to stand-ins and programs. */
import {Agent, request} from "undici"

const agent = new Agent({pipelining: 1, connections: 16})
const callTimeoutMs = 5000

export interface JsonCall {
	method?: "GET" | "POST" | "PUT"
	body?: unknown
}

/** Calls a URL and returns its JSON; rejects on a status other than 2xx. */
export async function callJson<T>(
	url: string,
	{method = "GET", body}: JsonCall = {}
): Promise<T> {
	const res = await request(url, {
		method,
		dispatcher: agent,
		headers: {"content-type": "application/json"},
		body: body === undefined ? null : JSON.stringify(body),
		headersTimeout: callTimeoutMs,
		bodyTimeout: callTimeoutMs
	})
	const text = await res.body.text()
	if (res.statusCode >= 300) {
		throw new Error(`${method} ${url} answered ${res.statusCode}: ${text}`)
	}
	return JSON.parse(text === "" ? "null" : text) as T
}

/** True when the URL answers 200. */
export async function isOk(url: string): Promise<boolean> {
	try {
		const res = await request(url, {
			dispatcher: agent,
			headersTimeout: callTimeoutMs,
			bodyTimeout: callTimeoutMs
		})
		await res.body.dump()
		return res.statusCode === 200
	} catch {
		return false
	}
}
