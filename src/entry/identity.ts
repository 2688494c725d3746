/**
 * Identifies the Member that sends a request. If a Member secret is set, the
 * caller must send a bearer token signed for its Member. If none is set, the
 * `x-member` header is trusted; this is meant for loopback, and for a load
 * balancer that authenticates the callers.
 */
import {createHmac, timingSafeEqual} from "node:crypto"
import type {IncomingHttpHeaders} from "node:http"
import {BadRequestError} from "../contract/errors.js"

const memberPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const bearerPrefix = "bearer "
const unauthorized = 401

/** Creates a Member's token: its name, a dot and a signature. */
export function mintMemberToken(secret: string, member: string): string {
	return `${member}.${sign(secret, member)}`
}

/**
 * Returns the Member that sends a request.
 *
 * @throws BadRequestError when the header or the token is missing or invalid
 */
export function identifyMember(
	headers: IncomingHttpHeaders,
	memberSecret: string
): string {
	if (memberSecret === "") return readMemberHeader(headers)
	const token = readBearer(headers.authorization ?? "")
	const separator = token.lastIndexOf(".")
	const member = token.slice(0, Math.max(0, separator))
	const signature = token.slice(separator + 1)
	if (!isSigned(memberSecret, member, signature)) {
		throw new BadRequestError(
			"authorization",
			"the bearer token is missing or not valid",
			unauthorized
		)
	}
	return member
}

function readMemberHeader(headers: IncomingHttpHeaders): string {
	const member = headers["x-member"]
	if (typeof member === "string" && memberPattern.test(member)) return member
	throw new BadRequestError(
		"x-member",
		"expected 1 to 64 letters, digits, '.', '_' or '-'"
	)
}

function readBearer(header: string): string {
	if (!header.toLowerCase().startsWith(bearerPrefix)) return ""
	return header.slice(bearerPrefix.length).trim()
}

function isSigned(secret: string, member: string, signature: string): boolean {
	if (!memberPattern.test(member)) return false
	const expected = Buffer.from(sign(secret, member))
	const given = Buffer.from(signature)
	return expected.length === given.length && timingSafeEqual(expected, given)
}

function sign(secret: string, member: string): string {
	return createHmac("sha256", secret).update(member).digest("base64url")
}
