export * from "./router.js"
export * from "./scheduler.js"
export * from "./types.js"
