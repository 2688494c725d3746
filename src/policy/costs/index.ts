export * from "./outputForecast.js"
export * from "./remainingOutput.js"
export type {AnswerSubject} from "./routeHistory.js"
