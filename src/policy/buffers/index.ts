export * from "./answerLedger.js"
export * from "./bufferLedger.js"
