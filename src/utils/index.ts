export * from "./common.js"
export * from "./listenAt.js"
export * from "./suspension.js"
