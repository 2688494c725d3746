export * from "./requestPacer.js"
export * from "./returnSchedule.js"
export * from "./statedLimits.js"
