export * from "./platform.js"
export type * from "./types.js"
