// Package strictjson decodes JSON that is written by hand. It rejects unknown and
// repeated fields, field names in another case, null and trailing data, and reports
// every problem with the path of its field, such as "added.groups[2].size".
package strictjson
