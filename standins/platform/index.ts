export * from "./objectStore.js"
export * from "./platform.js"
