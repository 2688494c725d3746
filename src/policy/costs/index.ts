export * from "./outputForecast.js"
export * from "./remainingOutput.js"
export * from "./requestCost.js"
export type {AnswerSubject} from "./routeHistory.js"
