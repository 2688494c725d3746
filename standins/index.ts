export * from "./engine/index.js"
export * from "./platform/index.js"
export * from "./service.js"
export * from "./weightStore.js"
