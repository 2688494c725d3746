export * from "./counters.js"
export * from "./log.js"
export * from "./run.js"
export * from "./settings.js"
