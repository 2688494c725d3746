/** The message by which processes tell each other what limit an endpoint stated. */
import {create} from "@bufbuild/protobuf"
import {type LimitNotice, LimitNoticeSchema} from "../contract/gen/grants_pb.js"
import type {StatedLimit} from "../policy/limits/index.js"

/** `stated` is undefined if the endpoint has no limit any more. */
export function createLimitNotice(
	endpointId: string,
	bornAt: number,
	stated: StatedLimit | undefined,
	now: number
): LimitNotice {
	if (stated?.perSecond === undefined)
		return create(LimitNoticeSchema, {endpointId, bornAt})
	const {perSecond, statedAt} = stated
	const ageMs = Math.round(now - statedAt)
	return create(LimitNoticeSchema, {endpointId, bornAt, perSecond, ageMs})
}
