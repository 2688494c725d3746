/**
 * Which Member sends a request. With a Member secret set, callers present a
 * bearer token bound to their Member; without one the header is trusted, which
 * is for loopback and for a balancer that authenticates callers itself.
 */
import {createHmac, timingSafeEqual} from "node:crypto"
import type {IncomingHttpHeaders} from "node:http"
import {BadRequestError} from "../contract/errors.js"

const memberPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const bearerPrefix = "bearer "
const unauthorized = 401

/** The token of a Member: its name, a dot and a signature. */
export function mintMemberToken(secret: string, member: string): string {
	return `${member}.${sign(secret, member)}`
}

/**
 * The Member that a request speaks for.
 *
 * @throws BadRequestError when it names none, or proves none
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
