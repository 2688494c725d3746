import {expect, test} from "vitest"
import {BadRequestError, Step, StepError} from "../errors.js"

test("a typed error carries its step and peer", () => {
	const err = new StepError("lost", {step: Step.Claim, peer: "orders-1"})
	expect(err).toMatchObject({step: "claim", peer: "orders-1"})
})

test("a bad request error carries its field and HTTP status", () => {
	const err = new BadRequestError("model", "adapter is unknown", 404)
	expect(err).toMatchObject({field: "model", status: 404, step: "receive"})
})
