// Guards against peers whose messages do not end, and against limits that the messages of
// large fleets exceed.
import * as grpc from "@grpc/grpc-js"
import {create} from "@bufbuild/protobuf"
import {afterEach, expect, it} from "vitest"
import {
	ConfirmAnswerSchema,
	type FleetUpdate,
	FleetUpdateSchema
} from "../../contract/gen/fleet_pb.js"
import {createLoopbackIp} from "../../gateway/__tests__/loopback.js"
import {
	type FollowCall,
	type OpenFollowStream,
	openFollowStream,
	startFollowServer
} from "../fleetLink.js"
import {OpenedSockets} from "./endlessServer.js"

const mebibyte = 1024 * 1024

let server: grpc.Server
let open: OpenFollowStream | undefined

afterEach(() => {
	open?.close()
	server.forceShutdown()
})

/** The first message, or the error in its place. */
async function receive(
	onCall: (call: FollowCall) => void
): Promise<FleetUpdate | grpc.ServiceError> {
	const address = `${createLoopbackIp()}:9302`
	const confirm = () => create(ConfirmAnswerSchema)
	server = await startFollowServer({
		address,
		onCall,
		confirm,
		onError: err => {
			throw err
		}
	})
	const follow = openFollowStream(address, {
		gateway: "g",
		configVersion: undefined
	})
	open = follow
	return new Promise(resolve => {
		follow.stream.once("data", resolve)
		follow.stream.once("error", resolve)
	})
}

it("carries the snapshot of 1,600 engines with many adapters", async () => {
	const residents = Array.from({length: 200}, (_, n) => `daka510000/a${n}@1`)
	const endpoints = Array.from({length: 1600}, (_, n) => ({
		id: `i-${n}`,
		pool: "writers",
		address: "10.0.0.1:80",
		residents
	}))
	const update = create(FleetUpdateSchema, {isWhole: true, endpoints})
	const received = await receive(call => call.write(update))
	expect(received).not.toBeInstanceOf(Error)
	expect(received).toMatchObject({endpoints: {length: 1600}})
})

it("cuts off a message that is larger, as soon as it begins", async () => {
	const opened = new OpenedSockets()
	const compressedConfig = new Uint8Array(32 * mebibyte)
	const update = create(FleetUpdateSchema, {compressedConfig})
	const received = await receive(call => call.write(update))
	expect(received).toMatchObject({
		code: grpc.status.RESOURCE_EXHAUSTED,
		details: expect.stringContaining("larger than max") as string
	})
	expect(opened.bytesRead).toBeLessThan(mebibyte)
	opened.stop()
})
