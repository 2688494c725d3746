export * from "./claimTask.js"
export * from "./types.js"
