import {expect, test} from "vitest"
import {BadRequestError} from "../../contract/errors.js"
import {identifyMember, mintMemberToken} from "../identity.js"

const secret = "member-secret"
const token = mintMemberToken(secret, "club-1")
const [, signature = ""] = token.split(".")

function identify(authorization: string | undefined): string {
	return identifyMember({authorization, "x-member": "club-2"}, secret)
}

test("identifies the Member of a valid token and ignores x-member", () => {
	expect(identify(`Bearer ${token}`)).toBe("club-1")
	expect(identify(`bearer  ${token} `)).toBe("club-1")
	const dotted = mintMemberToken(secret, "north.club_2-b")
	expect(identify(`Bearer ${dotted}`)).toBe("north.club_2-b")
})

test.each([
	["no token", undefined],
	["an empty header", ""],
	["another scheme", `Basic ${token}`],
	["no scheme", token],
	["no signature", "Bearer club-1"],
	["an empty signature", "Bearer club-1."],
	["no Member", `Bearer .${signature}`],
	["only a dot", "Bearer ."],
	["another Member's signature", `Bearer club-2.${signature}`],
	["a longer Member", `Bearer club-1.x.${signature}`],
	["a shortened signature", `Bearer ${token.slice(0, -1)}`],
	["a lengthened signature", `Bearer ${token}A`],
	["another secret", `Bearer ${mintMemberToken("other", "club-1")}`],
	["an empty secret", `Bearer ${mintMemberToken("", "club-1")}`],
	["other characters", `Bearer ${mintMemberToken(secret, "club 1")}`],
	["a Member that is too long", `Bearer ${createLongToken()}`]
])("refuses an authorization header with %s", (_fault, authorization) => {
	expect(() => identify(authorization)).toThrow(
		expect.objectContaining({
			name: "BadRequestError",
			field: "authorization",
			status: 401,
			message: "the bearer token is missing or not valid"
		})
	)
})

test("trusts a well-formed x-member header when no secret is set", () => {
	expect(identifyMember({"x-member": "club-2"}, "")).toBe("club-2")
	const malformed = [
		undefined,
		"",
		"a b",
		".a",
		"-a",
		"m".repeat(65),
		["a", "b"]
	]
	for (const value of malformed) {
		const headers = {"x-member": value}
		expect(() => identifyMember(headers, "")).toThrow(BadRequestError)
	}
})

function createLongToken(): string {
	return mintMemberToken(secret, "m".repeat(65))
}
