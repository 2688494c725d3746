/** Definitions of the gRPC methods between processes, with their codecs. */
import {
	type DescMessage,
	fromBinary,
	type MessageShape
} from "@bufbuild/protobuf"
import type * as grpc from "@grpc/grpc-js"
import {
	AckSchema,
	AnnounceSchema,
	ConfigOfferSchema,
	ConfigRequestSchema,
	ConfigResponseSchema,
	DrainRequestSchema,
	ReportAckSchema,
	ReportSchema,
	RunEventSchema,
	RunRequestSchema,
	StatusRequestSchema,
	StatusResponseSchema,
	TicketRequestSchema,
	TicketSchema
} from "../contract/gen/link_pb.js"
import {
	ConfirmAnswerSchema,
	ConfirmRequestSchema,
	FleetUpdateSchema,
	FollowRequestSchema
} from "../contract/gen/fleet_pb.js"
import {
	AgentMessageSchema,
	GatewayMessageSchema
} from "../contract/gen/grants_pb.js"

import {encodeMessage} from "./encoding.js"

const servicePath = "/goldcrestloom.link.v1.Link/"
const fleetServicePath = "/goldcrestloom.fleet.v1.Fleet/"
const grantServicePath = "/goldcrestloom.grants.v1.Grants/"

function defineMethod<I extends DescMessage, O extends DescMessage>(
	name: string,
	input: I,
	output: O,
	requestStream: boolean,
	responseStream: boolean,
	service = servicePath
): grpc.MethodDefinition<MessageShape<I>, MessageShape<O>> {
	return {
		path: service + name,
		requestStream,
		responseStream,
		requestSerialize: message => encodeMessage(input, message),
		requestDeserialize: bytes => fromBinary(input, bytes),
		responseSerialize: message => encodeMessage(output, message),
		responseDeserialize: bytes => fromBinary(output, bytes)
	}
}

/** Methods of entry and endpoint processes; each role serves some of them. */
export const linkMethods = {
	run: defineMethod("Run", RunRequestSchema, RunEventSchema, false, true),
	report: defineMethod("Report", ReportAckSchema, ReportSchema, true, true),
	config: defineMethod(
		"Config",
		ConfigRequestSchema,
		ConfigResponseSchema,
		false,
		false
	),
	offer: defineMethod("Offer", ConfigOfferSchema, AckSchema, false, false),
	announce: defineMethod("Announce", AnnounceSchema, AckSchema, false, false),
	drain: defineMethod("Drain", DrainRequestSchema, AckSchema, false, false),
	status: defineMethod(
		"Status",
		StatusRequestSchema,
		StatusResponseSchema,
		false,
		false
	),
	ticket: defineMethod(
		"Ticket",
		TicketRequestSchema,
		TicketSchema,
		false,
		false
	)
} satisfies grpc.ServiceDefinition

/** Stream between a gateway and the agent that runs beside an engine. */
export const grantMethods = {
	grants: defineMethod(
		"Grants",
		GatewayMessageSchema,
		AgentMessageSchema,
		true,
		true,
		grantServicePath
	)
} satisfies grpc.ServiceDefinition

/** Methods of a gateway that watches the platform, for the other gateways. */
export const fleetMethods = {
	follow: defineMethod(
		"Follow",
		FollowRequestSchema,
		FleetUpdateSchema,
		false,
		true,
		fleetServicePath
	),
	confirm: defineMethod(
		"Confirm",
		ConfirmRequestSchema,
		ConfirmAnswerSchema,
		false,
		false,
		fleetServicePath
	)
} satisfies grpc.ServiceDefinition
