/** Ends a request that has not run because it crashes endpoints. */
import type {CallerExchange, LogFields} from "../callers/callerExchange.js"
import type {CrashAdmission} from "./crashAdmission.js"

/** Callers return in time to be served within this share of the time they have left. */
const maxReturnShare = 1 / 3

export interface TurnAwayOptions {
	admission: CrashAdmission
	detail: string
	/** Whether callers repeat it after any failure, so that the time counts. */
	isRepeated: boolean
	logFields: LogFields
}

/** Tells the caller when to return, or with 500 that it is of no use. */
export function turnAway(
	exchange: CallerExchange,
	{admission, detail, isRepeated, logFields}: TurnAwayOptions
): void {
	const {returnMs, leftMs} = admission
	const isInTime = isRepeated || returnMs < leftMs * maxReturnShare
	if (Number.isFinite(returnMs) && isInTime)
		exchange.refuse(detail, returnMs, logFields)
	else exchange.turnAway(detail, logFields)
}
