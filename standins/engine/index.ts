export * from "./engine.js"
export {expectedText} from "./text.js"
export type * from "./types.js"
